/**
How an entry host divides the time that it has to stop.
*/
import {ACCEPTING_FRACTION, STOP_MARGIN_MILLISECONDS, MAX_STOP_MARGIN_FRACTION} from './constants.ts';

/**
The parts of a stop, in milliseconds.
*/
export type StopTimes = {
	/**
	For which it takes new requests.
	*/
	readonly acceptingMilliseconds: number;
	/**
	After that, until it gives up what is still under way.
	*/
	readonly drainingMilliseconds: number;
};

/**
Divides the time to stop.

@param milliseconds From the request to stop until the process is killed.
*/
export function divideStopTime(milliseconds: number): StopTimes {
	const acceptingMilliseconds = milliseconds * ACCEPTING_FRACTION;
	const margin = Math.min(STOP_MARGIN_MILLISECONDS, milliseconds * MAX_STOP_MARGIN_FRACTION);
	return {acceptingMilliseconds, drainingMilliseconds: milliseconds - acceptingMilliseconds - margin};
}
