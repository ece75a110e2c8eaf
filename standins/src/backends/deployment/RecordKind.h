#pragma once

namespace carawaypond::standins {

/// @brief The type of a service's records.
enum class RecordKind { Claims, Invoices, DeliveryNotes, PurchaseOrders };

} // namespace carawaypond::standins
