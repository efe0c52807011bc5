/**
Times and limits for sharing allotments between dispatchers.
*/

/**
Milliseconds between two usage reports to the other dispatchers. Meanwhile they may admit too much, by up to the rate of this time.
*/
export const REPORT_INTERVAL_MILLISECONDS = 200;

/**
Unreported requests of one organisation, plus seconds of its rate, from which on a report is sent at once. Usage that a dispatcher has not reported is
lost when its host fails.
*/
export const MAX_UNREPORTED_REQUESTS = 4;
export const MAX_UNREPORTED_SECONDS = 0.2;

/**
Milliseconds without a report on a service after which its dispatcher counts as cut off: two reports were missed.
*/
export const REPORT_TIMEOUT_MILLISECONDS = 500;

/**
Fraction of its remainder of an allotment that a dispatcher admits while the reports on a service are missing: both sides of a network partition admitted the whole
rate until they noticed it.
*/
export const MISSING_REPORT_FRACTION = 0.8;

/**
Minimum fraction of the allotment that such a dispatcher admits: an organisation that used only other services must not be shut out of this one.
*/
export const MIN_MISSING_REPORT_FRACTION = 0.05;

/**
Fraction of the burst that such a dispatcher keeps: an organisation that sends too much has used its burst before, and would get it again on both sides.
*/
export const MISSING_REPORT_BURST_FRACTION = 0.2;

/**
Milliseconds without a report on a service after which newly admitted requests no longer count in the usage by service. Both sides of a network partition must keep the
same usage, or the fractions that they admit add up to more than the whole.
*/
export const FRESH_REPORT_MILLISECONDS = 300;

/**
Milliseconds without a slot request after which a dispatcher no longer reports on a service.
*/
export const SERVICE_IDLE_MILLISECONDS = 1000;

/**
Milliseconds without a report after which a service is no longer expected to be reported: its dispatcher is gone for good, or it has no traffic.
*/
export const SERVICE_EXPIRY_MILLISECONDS = 30_000;

/**
Time constant in milliseconds with which the usage by service decays exponentially.
*/
export const USAGE_DECAY_MILLISECONDS = 5000;

/**
Most time in milliseconds that an entry host lends with one slot request. All hosts that were idle may lend so much at once.
*/
export const MAX_LENT_MILLISECONDS = 1000;

/**
Milliseconds by which the time lent to a dispatcher may exceed the time since its start: the first requests lend the time before it.
*/
export const MAX_LENT_AHEAD_MILLISECONDS = 300;

/**
Fraction of the slack that a full bucket holds beyond its burst, and with which a bucket starts when earlier usage is unknown. The rest is
reserved for what dispatchers admit before they receive each other's reports.
*/
export const SLACK_FRACTION = 0.4;

/**
Age in milliseconds from which on a report counts as delayed.
*/
export const DELAYED_REPORT_MILLISECONDS = 600;

/**
Fraction of the burst that is refilled in each window, for an organisation that continuously sends more than its rate. The rest is reserved for what dispatchers
admit before they receive each other's reports.
*/
export const RENEWED_BURST_FRACTION = 0.75;

/**
Time slices in which the requests of a window are counted.
*/
export const WINDOW_SLICES = 20;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;
