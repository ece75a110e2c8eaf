#pragma once

namespace carawaypond::standins {

class CallWatch;
class HttpServer;
class HttpSession;
class Signal;
class UrlQuery;
enum class Delivery;
struct HttpAnswer;
struct HttpCall;
struct HttpReply;
struct HttpRequest;
struct HttpServerOptions;

} // namespace carawaypond::standins
