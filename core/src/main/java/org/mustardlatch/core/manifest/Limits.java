package org.mustardlatch.core.manifest;

/**
 * Budgets for retries and hedged requests. Each node applies them to the requests that it receives
 * itself.
 *
 * @param retryBudgetFraction retries allowed per first attempt, 0 to 1
 * @param hedgeBudgetFraction hedged requests allowed per request, 0 to 1
 */
public record Limits(double retryBudgetFraction, double hedgeBudgetFraction) {}
