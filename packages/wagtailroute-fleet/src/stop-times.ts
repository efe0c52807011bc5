/**
Divides the time that an entry host has for stopping.
*/
import {
	ACCEPTING_FRACTION,
	FLUSHING_FRACTION,
	MAX_STOP_MARGIN_FRACTION,
	STOP_MARGIN_MILLISECONDS,
} from './constants.ts';

/**
The phases of a stop.
*/
export type StopTimes = {
	/**
	Time in which the host still accepts new requests.
	*/
	readonly acceptingMilliseconds: number;
	/**
	Time after that, until the host aborts the requests that are still in flight.
	*/
	readonly drainingMilliseconds: number;
	/**
	Time after that, until the host cuts off the responses that are not written whole.
	*/
	readonly flushingMilliseconds: number;
};

/**
Divides the time for stopping.

@param milliseconds Time from the stop signal until the process is killed.
*/
export function divideStopTime(milliseconds: number): StopTimes {
	const acceptingMilliseconds = milliseconds * ACCEPTING_FRACTION;
	const margin = Math.min(STOP_MARGIN_MILLISECONDS, milliseconds * MAX_STOP_MARGIN_FRACTION);
	return {acceptingMilliseconds, drainingMilliseconds: milliseconds - acceptingMilliseconds - margin, flushingMilliseconds: margin * FLUSHING_FRACTION};
}
