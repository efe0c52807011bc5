/**
Windows, bucket widths and alert rules of the report.
*/

/**
Milliseconds in a minute.
*/
export const MINUTE_MILLISECONDS = 60_000;

/**
Milliseconds in an hour.
*/
export const HOUR_MILLISECONDS = 3_600_000;

/**
Milliseconds in a day.
*/
export const DAY_MILLISECONDS = 86_400_000;

/**
Width of the finest buckets, in milliseconds; kept for {@link FINE_SPAN_MILLISECONDS}.
*/
export const FINE_WIDTH_MILLISECONDS = 10_000;

/**
Span of the finest buckets, in milliseconds.
*/
export const FINE_SPAN_MILLISECONDS = HOUR_MILLISECONDS;

/**
Width of the middle buckets, in milliseconds; kept for {@link MIDDLE_SPAN_MILLISECONDS}. Also the time between two copies to
the second holders.
*/
export const MIDDLE_WIDTH_MILLISECONDS = 5 * MINUTE_MILLISECONDS;

/**
Span of the middle buckets, in milliseconds.
*/
export const MIDDLE_SPAN_MILLISECONDS = 6 * HOUR_MILLISECONDS;

/**
Width of the coarse buckets, in milliseconds; kept for the window of the service's objective, at least three days.
*/
export const COARSE_WIDTH_MILLISECONDS = HOUR_MILLISECONDS;

/**
Least span of the coarse buckets, in days: the longest window of a burn rate.
*/
export const MINIMUM_COARSE_DAYS = 3;

/**
Longest window of an objective, in days; what a copy claims beyond it is cut to it.
*/
export const MAXIMUM_WINDOW_DAYS = 90;

/**
Services counted by one host; requests of further ones are counted together as untracked.
*/
export const MAXIMUM_SERVICES = 2000;

/**
Span of the latency histograms, in milliseconds.
*/
export const LATENCY_SPAN_MILLISECONDS = HOUR_MILLISECONDS;

/**
Histograms that the span is split into: the oldest is dropped as a whole.
*/
export const LATENCY_SLICES = 4;

/**
Units of a histogram's values in a millisecond.
*/
export const LATENCY_UNITS_PER_MILLISECOND = 10;

/**
Longest latency that is told apart, in milliseconds: the longest deadline of a catalogue entry.
*/
export const MAXIMUM_LATENCY_MILLISECONDS = HOUR_MILLISECONDS;

/**
Points of a plot at most.
*/
export const SERIES_POINTS = 60;

/**
Shortest window that may be asked for, in milliseconds.
*/
export const MINIMUM_WINDOW_MILLISECONDS = 5 * MINUTE_MILLISECONDS;

/**
Windows over which burn rates are told, in milliseconds. The shorter one of each alert rule is among them.
*/
export const BURN_WINDOWS = {
	'5m': 5 * MINUTE_MILLISECONDS,
	'30m': 30 * MINUTE_MILLISECONDS,
	'1h': HOUR_MILLISECONDS,
	'6h': 6 * HOUR_MILLISECONDS,
	'3d': 3 * DAY_MILLISECONDS,
} as const;

/**
Name of a window of a burn rate.
*/
export type BurnWindow = keyof typeof BURN_WINDOWS;

/**
Least number of bad requests in the short window of an alert rule. Without it a service with few requests pages for each single
failure: one failed of five burns at 200 for a target of 99.9%, and whoever is woken finds nothing. A burn rate made of 10
failures is known to about a third (the square root of 10 is 3.2); every threshold is met or missed by more than that in an
outage. A service with fewer failures is not forgotten: one request a minute that always fails makes 5 in 5 min and 30 in
30 min, so that the slow burn pages; one request in ten minutes makes 36 in 6 h, so that the drain makes a ticket.
*/
export const MINIMUM_ALERT_FAILURES = 10;

/**
Rules of the alerts on several windows: an alert stands while the burn rate is at the rule's threshold over the long window,
so that it matters, and over the short one, so that it ends soon after the cause. The short one also has
{@link MINIMUM_ALERT_FAILURES}. The threshold is the rate that spends
`budgetShare` of the whole budget within the long window: 14.4, 6 and 1 for an objective over 30 days.
*/
export const ALERT_RULES = [
	{
		name: 'fast-burn', severity: 'page', long: '1h', short: '5m', budgetShare: 0.02,
	},
	{
		name: 'slow-burn', severity: 'page', long: '6h', short: '30m', budgetShare: 0.05,
	},
	{
		name: 'budget-drain', severity: 'ticket', long: '3d', short: '6h', budgetShare: 0.1,
	},
] as const;
