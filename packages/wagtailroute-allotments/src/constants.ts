/**
Times and bounds of allotments.
*/

/**
Milliseconds for which use is collected before the other dispatchers are told. What they admit meanwhile may be too much by this much of the rate.
*/
export const REPORT_INTERVAL_MILLISECONDS = 200;

/**
Requests of one organisation, and seconds' worth of its rate, that are told at once when they were admitted since the last telling. A dispatcher that is
lost takes with it what it did not tell.
*/
export const MAX_UNREPORTED_REQUESTS = 4;
export const MAX_UNREPORTED_SECONDS = 0.2;

/**
Milliseconds without news of a service after which the dispatcher that told it counts as cut off: two tellings were missed.
*/
export const REPORT_TIMEOUT_MILLISECONDS = 500;

/**
Part of what is left to a dispatcher that misses the news of a service: both sides of a cut gave out the whole rate until they noticed it.
*/
export const MISSING_REPORT_FRACTION = 0.8;

/**
The same at least: an organisation that used other services only must not be shut out of this one.
*/
export const MIN_MISSING_REPORT_FRACTION = 0.05;

/**
Part of the burst that such a dispatcher keeps: an organisation that floods has had its burst before, and would have it again on both sides.
*/
export const MISSING_REPORT_BURST_FRACTION = 0.2;

/**
Milliseconds without news of a service after which it is no longer learned who uses how much of an allotment. Both sides of a cut must remember the
same, or the parts that they give out add up to more than the whole.
*/
export const FRESH_REPORT_MILLISECONDS = 300;

/**
Milliseconds without an ask after which a dispatcher no longer speaks for a service.
*/
export const SERVICE_IDLE_MILLISECONDS = 1000;

/**
Milliseconds of silence after which a service is forgotten: its dispatcher is gone for good, or it has no traffic.
*/
export const SERVICE_EXPIRY_MILLISECONDS = 30_000;

/**
Milliseconds in which the memory of who used how much of an allotment fades to a third.
*/
export const USAGE_DECAY_MILLISECONDS = 5000;

/**
Part of the slack that a full account holds beyond its burst, and with which an account begins that knows nothing of earlier use. The rest is
left for what dispatchers admit before they hear of each other.
*/
export const SLACK_FRACTION = 0.4;

/**
Age in milliseconds from which on news were held up on their way.
*/
export const DELAYED_REPORT_MILLISECONDS = 600;

/**
Part of the burst that may be had again in each window by an organisation that sends more than its rate all the while. The rest is left for what dispatchers
admit before they hear of each other.
*/
export const RENEWED_BURST_FRACTION = 0.75;

/**
Slices in which the requests of a window are counted.
*/
export const WINDOW_SLICES = 20;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;
