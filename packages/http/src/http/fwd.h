#pragma once

namespace carawaypond::http {

class CallerConnection;
class Client;
class Connection;
class Listener;
class MemoryBudget;
class MemoryReservation;
struct ClientOptions;
struct ConnectionOptions;
struct Header;
struct ListenerOptions;
struct ListenerStats;
struct Request;
struct Response;

} // namespace carawaypond::http
