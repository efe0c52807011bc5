/**
Which messages go first at a busy host.
*/
import type * as link from 'wagtailroute-link';
import {SLOT_REQUEST_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {METHODS} from './messages.ts';

/**
What elections, reads, changes and confirmations of the catalogue and of leaving upstreams hang on, until they are in force on every host. All of them are few, whatever the load.
*/
const URGENT_METHODS: ReadonlySet<string> = new Set([
	METHODS.hello,
	METHODS.group,
	METHODS.propose,
	METHODS.readGeneration,
	METHODS.fetchGeneration,
	METHODS.generationVersion,
	METHODS.retired,
]);

/**
A host turns to another dispatcher after this time, and cancels what it asked.
*/
const QUEUE_TIME_LIMITS: ReadonlyMap<string, number> = new Map([[METHODS.ask, SLOT_REQUEST_TIMEOUT_MILLISECONDS]]);

/**
Creates the order of a host's messages.
*/
export function createMessageOrder({metrics}: Pick<FleetContext, 'metrics'>): link.MessageOrder {
	return {
		urgent: URGENT_METHODS,
		limits: QUEUE_TIME_LIMITS,
		onDropped(method) {
			metrics.count('messages_dropped', {method});
		},
	};
}
