/**
The deadline of a request at a stand-in: the one its caller told, or the end of its connection.
*/
import type * as http from 'node:http';

/**
Greatest delay in milliseconds that a timer of Node takes; a greater one would fire at once.
*/
const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647;

/**
A deadline under way. `signal` is aborted with the reason `expired` or `closed`; `end` gives the timer back.
*/
export type Deadline = {
	readonly signal: AbortSignal;
	readonly end: () => void;
};

/**
Ends work for a caller that went away or whose deadline passed: work that nobody waits for would hold a slot.
*/
export function createDeadline(request: http.IncomingMessage, response: http.ServerResponse): Deadline {
	const controller = new AbortController();
	const milliseconds = Number(request.headers['request-timeout-ms']);
	const timer = milliseconds > 0
		? setTimeout(() => {
			controller.abort('expired');
		}, Math.min(milliseconds, MAXIMUM_TIMER_MILLISECONDS))
		: undefined;
	response.once('close', () => {
		controller.abort('closed');
	});
	return {
		signal: controller.signal,
		end() {
			clearTimeout(timer);
		},
	};
}
