package org.ragwortpick.forward;

/**
 * Decision on the repeat of a request after one of its attempts.
 *
 * @param label label of the reason in metrics
 * @param repeats whether the request is repeated
 * @param budget counts of the retry budget for the log; a dash if the budget was not asked
 */
record RepeatDecision(String label, boolean repeats, String budget) {

  /** No decision was necessary. */
  static final RepeatDecision NONE = new RepeatDecision("none", false, "-");

  /** The attempt did not reach an upstream, so the repeat takes nothing from the budget. */
  static final RepeatDecision UNREACHED = new RepeatDecision("unreached", true, "-");

  /** The request may have run and may run only once, or may have ended its upstream. */
  static final RepeatDecision NOT_REPEATABLE = new RepeatDecision("not_repeatable", false, "-");

  /** The maximum number of attempts is reached. */
  static final RepeatDecision MAX_ATTEMPTS = new RepeatDecision("max_attempts", false, "-");
}
