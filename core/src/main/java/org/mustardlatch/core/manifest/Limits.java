package org.mustardlatch.core.manifest;

/**
 * Fleet-wide budgets.
 *
 * @param retryBudgetFraction retries per first attempt, 0 to 1
 * @param hedgeBudgetFraction hedged requests per request, 0 to 1
 */
public record Limits(double retryBudgetFraction, double hedgeBudgetFraction) {}
