#pragma once

#include "bulrushstack/kernel/clock.h"

namespace bulrushstack {

struct RetryBudgetOptions {
    double ratio = 0.1; ///< retries per request in the long run
    double burst = 10; ///< retries that may be saved up
};

/// Limits retries in proportion to traffic, so that a failing upstream does not get a multiple of the offered load.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// Counts a request and credits its share of a retry.
    void recordRequest();

    /// Returns whether a retry may be made now, and takes it from the budget.
    bool tryConsume();

    /// Limits what may be saved up, when the number of instances that share the budget changes.
    void setBurst(double burst);

    /// Returns the retries that may be made now.
    double balance() const { return m_balance; }

private:
    RetryBudgetOptions m_options;
    double m_balance;
};

} // namespace bulrushstack
