#pragma once

namespace carawaypond::http {

class BoundedReader;
class CallerConnection;
class ChunkLimit;
class Client;
class Connection;
class HeadLines;
class Listener;
class MemoryBudget;
class MemoryReservation;
class WorkMeter;
struct ClientOptions;
struct ConnectionOptions;
struct Header;
struct ListenerOptions;
struct ListenerStats;
struct Request;
struct Response;
struct WorkLimits;

} // namespace carawaypond::http
