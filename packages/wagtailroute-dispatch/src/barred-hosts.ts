/**
Entry hosts that can't use some upstreams for now, because of a suspect path or a backoff. Requests of hosts that are barred from the same upstreams
get the same answer.
*/
import type * as core from 'wagtailroute-core';
import {isOverdue, type Upstream} from './upstreams.ts';

/**
Returns for each entry host that is barred from some of the upstreams a key of these; equal keys mean the same upstreams. Other hosts are absent.
*/
export function keyBarredHosts(upstreams: readonly Upstream[], now: number): ReadonlyMap<core.HostId, string> {
	const keys = new Map<core.HostId, string>();
	for (const [position, upstream] of upstreams.entries()) {
		for (const host of listBarredHosts(upstream, now)) {
			keys.set(host, `${keys.get(host) ?? ''} ${position}`);
		}
	}

	return keys;
}

const NO_HOSTS: ReadonlySet<core.HostId> = new Set();

function listBarredHosts(upstream: Upstream, now: number): ReadonlySet<core.HostId> {
	let hosts: Set<core.HostId> | undefined;
	for (const heldSlot of upstream.heldSlots.values()) {
		if (!isOverdue(upstream, heldSlot, now)) {
			continue;
		}

		hosts ??= new Set();
		hosts.add(heldSlot.host);
	}

	for (const untilByHost of [upstream.suspectPaths, upstream.backoffs]) {
		if (untilByHost.size === 0) {
			continue;
		}

		hosts ??= new Set();
		for (const [host, until] of untilByHost) {
			if (until > now) {
				hosts.add(host);
			}
		}
	}

	return hosts ?? NO_HOSTS;
}
