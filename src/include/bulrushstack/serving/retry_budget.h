#pragma once

#include "bulrushstack/kernel/clock.h"

namespace bulrushstack {

struct RetryBudgetOptions {
    double ratio = 0.1; ///< Retries credited for each request.
    double burst = 10; ///< Most retries that can accumulate.
};

/// Limits retries in proportion to the request rate, so that retries do not multiply the load on a failing upstream.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// Counts a request and credits its fraction of a retry.
    void recordRequest();

    /// Consumes one retry from the budget; returns false if none is available.
    bool tryConsume();

    /// Changes how many retries can accumulate, when the number of instances that share the budget changes.
    void setBurst(double burst);

    /// Returns the number of retries available now.
    double balance() const { return m_balance; }

private:
    RetryBudgetOptions m_options;
    double m_balance;
};

} // namespace bulrushstack
