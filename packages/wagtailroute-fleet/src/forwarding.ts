/**
Forwards the requests of a host that reaches no upstream to other entry hosts. Where these reach none either, the cause is not this host's paths, and it tries them.

The other host does what it does for its own callers: it identifies the caller, checks the quarantine, asks for slots, makes all attempts within the deadline passed on,
and counts them against the budgets. So each of these is still counted once, in one place. A forwarded request is never forwarded again.
*/
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {FORWARDING_PAUSE_MILLISECONDS, MAX_FORWARDING_ADDRESSES} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
The entry hosts to which requests are forwarded.
*/
export type ForwardingTargets = {
	/**
	Returns a target that is not excluded; undefined when there is none.
	*/
	readonly choose: (excluded: ReadonlySet<string>) => proxy.Target | undefined;
	/**
	Records how a forwarded attempt ended.
	*/
	readonly recordEnding: (target: proxy.Target, ending: proxy.AttemptEnding) => void;
};

/**
Failures of forwarded requests that a host does not take, so that another one may be asked.
*/
export const HOST_ISOLATED = proxy.createRequestFailure('forwarding-refused', 'This host reaches no backend server.');
export const HOST_OUTDATED = proxy.createRequestFailure('forwarding-refused', 'This host has an older catalogue than the one that forwarded the request.');

/**
Endings after which a host is not chosen for a while.
*/
const UNUSABLE_ENDINGS: ReadonlySet<proxy.AttemptEnding> = new Set(['connect-error', 'reset', 'truncated', 'shed', 'timeout']);

/**
Creates the targets.

@param listAddresses Returns the forwarding addresses of other entry hosts.
*/
export function createForwardingTargets({now, random, metrics}: FleetContext, listAddresses: () => readonly core.Address[]): ForwardingTargets {
	const pausedUntil = new Map<string, number>();
	const isUsable = (address: core.Address) => (pausedUntil.get(core.formatAddress(address)) ?? -Infinity) <= now();
	return {
		choose(excluded) {
			const others = listAddresses().filter(address => !excluded.has(core.formatAddress(address)));
			const usable = others.filter(address => isUsable(address));
			const candidates = usable.length > 0 ? usable : others;
			const address = candidates[utils.pickIndex(random, candidates.length)];
			return address === undefined ? undefined : {id: core.formatAddress(address), address, kind: 'host'};
		},
		recordEnding({id}, ending) {
			metrics.count('forwards', {ending});
			if (UNUSABLE_ENDINGS.has(ending)) {
				utils.setBounded(pausedUntil, id, now() + FORWARDING_PAUSE_MILLISECONDS, MAX_FORWARDING_ADDRESSES * 2);
			}
		},
	};
}
