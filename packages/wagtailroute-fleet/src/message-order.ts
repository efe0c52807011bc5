/**
Which messages a busy host handles first, and which it drops when they have waited too long.
*/
import type * as link from 'wagtailroute-link';
import {SLOT_REQUEST_TIMEOUT_MILLISECONDS, SLOW_DISPATCHER_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {METHODS} from './messages.ts';
import type {OverloadControl} from './overload-control.ts';

/**
Messages handled before all others: elections, reads and changes of the catalogue and of retired upstreams, and their distribution to every host, depend on them. Their
number does not grow with the load.
*/
const URGENT_METHODS: ReadonlySet<string> = new Set([
	METHODS.hello,
	METHODS.group,
	METHODS.propose,
	METHODS.readGeneration,
	METHODS.fetchGeneration,
	METHODS.generationVersion,
	METHODS.retired,
	METHODS.fetchRetirements,
]);

/**
Milliseconds for which messages may wait to be handled. After this time the requesting host has cancelled the slot request and sent it to another dispatcher.
*/
const QUEUE_TIME_LIMITS: ReadonlyMap<string, number> = new Map([[METHODS.ask, SLOT_REQUEST_TIMEOUT_MILLISECONDS]]);

/**
The same with overload control on: requesting hosts wait for a slow dispatcher.
*/
const LONG_QUEUE_TIME_LIMITS: ReadonlyMap<string, number> = new Map([[METHODS.ask, SLOW_DISPATCHER_TIMEOUT_MILLISECONDS]]);

/**
Creates the order in which a host handles messages. Dropped ones are counted in its metrics.
*/
export function createMessageOrder({metrics}: Pick<FleetContext, 'metrics'>, overloadControl?: OverloadControl): link.MessageOrder {
	return {
		urgentMethods: URGENT_METHODS,
		queueTimeLimits: {
			get: method => (overloadControl?.isOn() === true ? LONG_QUEUE_TIME_LIMITS : QUEUE_TIME_LIMITS).get(method),
		},
		onDropped(method) {
			metrics.count('messages_dropped', {method});
		},
	};
}
