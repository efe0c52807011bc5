/**
What an answered request means for the objectives of its service.
*/
import type * as core from 'wagtailroute-core';

/**
Where a request is counted.

- `good`: a backend server's answer below 500 within the objective's latency;
- `slow`: the same, but later;
- `not-run`, `unknown`: what the fleet told instead of an answer;
- `upstream-error`: a backend server's own answer of 500 or more;
- `caller-error`: refused for the request's own fault;
- `cancelled`: the caller went away.

The last two are shown, but are neither good nor bad: they spend nobody's budget.
*/
export const VERDICTS = ['good', 'slow', 'not-run', 'unknown', 'upstream-error', 'caller-error', 'cancelled'] as const;

/**
Where a request is counted.
*/
export type Verdict = (typeof VERDICTS)[number];

/**
Requests by verdict, in the order of {@link VERDICTS}.
*/
export type Counts = readonly number[];

/**
How one request ended.
*/
export type RequestResult = {
	readonly outcome: core.Outcome;
	/**
	HTTP status.
	*/
	readonly status: number;
	/**
	Milliseconds from the request to the end of its answer.
	*/
	readonly milliseconds: number;
	readonly isCancelled: boolean;
	/**
	The fleet itself made the answer.
	*/
	readonly isFleetMade: boolean;
};

/**
The objectives of a service.
*/
export type Objective = {
	/**
	Share of good requests that is aimed at, in (0, 1); the rest is the error budget. It holds for the latency objective too.
	*/
	readonly availability: number;
	/**
	Milliseconds within which an answer is in time.
	*/
	readonly latencyMilliseconds: number;
	/**
	Days over which the error budget is counted.
	*/
	readonly windowDays: number;
};

const BAD_REQUEST = 400;
const CONFLICT = 409;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

/**
Returns where a request is counted.
*/
export function getVerdict(result: RequestResult, objective: Objective): Verdict {
	if (result.isCancelled) {
		return 'cancelled';
	}

	if (isCallerError(result)) {
		return 'caller-error';
	}

	return result.outcome === 'ran' ? getRanVerdict(result, objective) : result.outcome;
}

/**
Refusals that the request itself caused. A rate limit is the fleet's, and a conflict that leaves the caller in doubt
(`unknown`) is no fault of the caller. An answer that a backend server gave is never one, whatever its status: that it ran
is what the service promised.
*/
function isCallerError({status, outcome, isFleetMade}: RequestResult): boolean {
	const isRefusal = status >= BAD_REQUEST && status < SERVER_ERROR && status !== TOO_MANY_REQUESTS;
	const isCallerErrorBy = {'not-run': isRefusal, unknown: isRefusal && status !== CONFLICT, ran: isRefusal && isFleetMade};
	return isCallerErrorBy[outcome];
}

function getRanVerdict({status, milliseconds}: RequestResult, objective: Objective): Verdict {
	if (status >= SERVER_ERROR) {
		return 'upstream-error';
	}

	return milliseconds > objective.latencyMilliseconds ? 'slow' : 'good';
}

/**
Returns counts of nothing.
*/
export function createCounts(): number[] {
	return VERDICTS.map(() => 0);
}

/**
Adds counts to others in place.
*/
export function addCounts(into: number[], counts: Counts): void {
	for (const [index, count] of counts.entries()) {
		into[index]! += count;
	}
}

/**
Returns one of the counts.
*/
export function getCount(counts: Counts, verdict: Verdict): number {
	return counts[VERDICTS.indexOf(verdict)] ?? 0;
}

/**
Returns the sum of all counts.
*/
export function getTotal(counts: Counts): number {
	return counts.reduce((total, count) => total + count, 0);
}
