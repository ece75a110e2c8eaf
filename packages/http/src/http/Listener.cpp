#include "http/Listener.h"

#include "http/Acceptor.h"

namespace carawaypond::http {

Result<std::unique_ptr<Listener>>
Listener::open(boost::asio::io_context &Context, ListenerOptions Options,
               Handler Handle) {
  auto Impl = std::make_shared<internal::Acceptor>(Context, std::move(Options),
                                                   std::move(Handle));
  Result<void> Bound = Impl->bind();
  if (!Bound)
    return failure(Bound.error().Code, Bound.error().Message);
  Impl->start();
  return std::unique_ptr<Listener>(new Listener(std::move(Impl)));
}

Listener::Listener(std::shared_ptr<internal::Acceptor> Impl)
    : m_Impl(std::move(Impl)) {}

Listener::~Listener() { m_Impl->abort(); }

std::string Listener::address() const { return m_Impl->address(); }

ListenerStats Listener::stats() const { return m_Impl->sessions().stats(); }

void Listener::stopAccepting() { m_Impl->stopAccepting(); }

void Listener::closeIdle() { m_Impl->sessions().closeIdle(); }

void Listener::setLimits(const ListenerOptions &Limits) {
  m_Impl->sessions().setLimits(Limits);
}

void Listener::setDraining(bool Draining) {
  m_Impl->sessions().setDraining(Draining);
}

} // namespace carawaypond::http
