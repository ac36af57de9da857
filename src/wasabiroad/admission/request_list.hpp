#pragma once

#include "wasabiroad/admission/request_table.hpp"

namespace wasabiroad::admission {

/** @brief Intrusive doubly linked list of records of a table; a record is in at most one list. */
class RequestList {
public:
    void pushBack(RequestTable& table, RecordIndex index);
    void pushFront(RequestTable& table, RecordIndex index);

    /** @brief Removes a record that is in this list. */
    void erase(RequestTable& table, RecordIndex index);

    /** @return The first record, or `noRecord`. */
    RecordIndex front() const { return this->head; }
    bool empty() const { return this->head == noRecord; }

private:
    RecordIndex head { noRecord };
    RecordIndex tail { noRecord };
};

} // namespace wasabiroad::admission
