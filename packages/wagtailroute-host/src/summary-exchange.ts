/**
What the hosts that carry the same services tell each other of their upstreams. One message to a carrier holds what is due
of all services: the way costs more than what is told.
*/
import type * as core from 'wagtailroute-core';
import * as detection from 'wagtailroute-detection';
import type * as utils from 'wagtailroute-utils';
import type {Announcer} from './announcer.ts';
import {findPeerAddress, type HostContext} from './context.ts';

/**
The mail of a host.
*/
export type SummaryExchange = {
	/**
	Keeps a summary for the other carriers of the service, until `flush`.
	*/
	readonly queue: (service: core.ServiceName, summary: detection.Summary) => void;
	readonly flush: () => void;
	readonly teardown: utils.Teardown;
};

type SummaryMessage = {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
	readonly told: ReadonlyArray<readonly [service: core.ServiceName, sequence: number, upstreams: string]>;
};

const SUMMARY_METHOD = 'detection.summary';

/**
Starts the mail. Its method: `detection.summary` between carriers.
*/
export function startSummaryExchange(context: HostContext, announcing: Announcer, {epoch, onSummary}: {
	readonly epoch: number;
	readonly onSummary: (service: core.ServiceName, summary: detection.Summary) => void;
}): SummaryExchange {
	const {settings, peer, store} = context;
	const pending = new Map<core.HostId, Array<SummaryMessage['told'][number]>>();

	const receive = ({host, failureDomain, epoch: senderEpoch, told}: SummaryMessage) => {
		for (const [service, sequence, text] of told) {
			const upstreams = detection.decodeUpstreamSummaries(text, announcing.getUpstreams(service).map(({id}) => id), senderEpoch);
			if (upstreams !== undefined) {
				onSummary(service, {
					host, failureDomain, epoch: senderEpoch, sequence, upstreams,
				});
			}
		}
	};

	return {
		queue(service, {sequence, upstreams}) {
			const told = [service, sequence, detection.encodeUpstreamSummaries(upstreams, epoch)] as const;
			const carriers = store.read(state => state.carriers.get(service) ?? []);
			const others = carriers.filter(id => id !== settings.hostId);
			for (const carrier of others) {
				pending.set(carrier, [...pending.get(carrier) ?? [], told]);
			}
		},
		flush() {
			for (const [carrier, told] of pending) {
				const address = findPeerAddress(context, carrier);
				const message: SummaryMessage = {
					host: settings.hostId, failureDomain: settings.failureDomain, epoch, told,
				};
				if (address !== undefined) {
					peer.notify(address, SUMMARY_METHOD, message);
				}
			}

			pending.clear();
		},
		teardown: peer.registerMethod(SUMMARY_METHOD, receive),
	};
}
