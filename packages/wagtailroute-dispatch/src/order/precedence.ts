/**
Precedence between two queued requests.
*/
import {MAX_PRIORITIES, SLACK_STEP_MILLISECONDS} from './constants.ts';

/**
What decides the place of a request in the queue.
*/
export type Place = {
	/**
	Class of the request, see {@link getUrgency}; a lower number is more urgent.
	*/
	readonly urgency: number;
	/**
	How far its organisation is ahead of its fair share, in steps.
	*/
	readonly fairLevel: number;
	/**
	Whether the caller has waited in earlier attempts.
	*/
	readonly isReturning: boolean;
	/**
	Latest time at which a slot is of use: for a request that can meet its latency objective the time for this, else the time for its deadline.
	*/
	readonly startBy: number;
	/**
	Usual milliseconds at a slot.
	*/
	readonly work: number;
	/**
	Order of arrival.
	*/
	readonly sequence: number;
};

const RESEND_URGENCY = -1;

/**
Returns the class of a request. Resends come first, as they have waited; one that can't meet its objective counts as a new request. Among the others,
those that can still meet their objective come before those that can't, each by priority.

@param workSteps Steps of priority that a doubling of the work counts as; 0 orders by priority alone, 1 by value per unit of work if each step of
priority halves the value.
*/
export function getUrgency(
	{priority, isResend, isLate, work}: {readonly priority: number; readonly isResend: boolean; readonly isLate: boolean; readonly work: number},
	workSteps: number,
): number {
	if (isResend && !isLate) {
		return RESEND_URGENCY;
	}

	const weighed = workSteps === 0 ? priority : priority + (workSteps * Math.log2(Math.max(1, work) / REFERENCE_WORK_MILLISECONDS));
	const rank = Math.min(MAX_PRIORITIES - 1, Math.max(0, Math.round(weighed)));
	return isLate && !isResend ? MAX_PRIORITIES + rank : rank;
}

/**
Work at which `workSteps` leaves the priority as it is.
*/
const REFERENCE_WORK_MILLISECONDS = 100;

/**
Returns a negative number when the first of two requests of a class goes first, and a positive one otherwise.
*/
export function comparePlaces(a: Place, b: Place): number {
	if (a.fairLevel !== b.fairLevel) {
		return a.fairLevel - b.fairLevel;
	}

	if (a.isReturning !== b.isReturning) {
		return a.isReturning ? -1 : 1;
	}

	const slackDifference = getSlackStep(a) - getSlackStep(b);
	if (slackDifference !== 0) {
		return slackDifference;
	}

	return a.work === b.work ? a.sequence - b.sequence : a.work - b.work;
}

function getSlackStep({startBy}: Place): number {
	return Math.floor(startBy / SLACK_STEP_MILLISECONDS);
}
