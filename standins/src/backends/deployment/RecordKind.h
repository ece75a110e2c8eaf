#pragma once

namespace carawaypond::standins {

/// @brief What a service's records are.
enum class RecordKind { Claims, Invoices, DeliveryNotes, PurchaseOrders };

} // namespace carawaypond::standins
