/**
Exchange of detection summaries between the hosts that carry the same services.

One message to a carrier holds the due summaries of all services, because a message costs more than its content.
*/
import type * as core from 'wagtailroute-core';
import * as detection from 'wagtailroute-detection';
import type * as utils from 'wagtailroute-utils';
import type {Announcer} from './announcer.ts';
import {findPeerAddress, type HostContext} from './context.ts';

/**
The exchange of one host.
*/
export type SummaryExchange = {
	/**
	Queues a summary for the other carriers of the service; `flush` sends it.
	*/
	readonly queue: (service: core.ServiceName, summary: detection.Summary) => void;
	readonly flush: () => void;
	readonly teardown: utils.Teardown;
};

/**
Message on the wire. `told` holds the encoded summary of each service.
*/
type SummaryMessage = {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
	readonly told: ReadonlyArray<readonly [service: core.ServiceName, sequence: number, upstreams: string]>;
};

const SUMMARY_METHOD = 'detection.summary';

/**
Registers the method `detection.summary`, by which carriers receive summaries.
*/
export function startSummaryExchange(context: HostContext, announcer: Announcer, {epoch, onSummary}: {
	readonly epoch: number;
	readonly onSummary: (service: core.ServiceName, summary: detection.Summary) => void;
}): SummaryExchange {
	const {settings, peer, store} = context;
	const pending = new Map<core.HostId, Array<SummaryMessage['told'][number]>>();

	const receive = ({host, failureDomain, epoch: senderEpoch, told: encodedSummaries}: SummaryMessage) => {
		for (const [service, sequence, text] of encodedSummaries) {
			const upstreams = detection.decodeUpstreamSummaries(text, announcer.getUpstreams(service).map(({id}) => id), senderEpoch);
			if (upstreams !== undefined) {
				onSummary(service, {
					host, failureDomain, epoch: senderEpoch, sequence, upstreams,
				});
			}
		}
	};

	return {
		queue(service, {sequence, upstreams}) {
			const encodedSummary = [service, sequence, detection.encodeUpstreamSummaries(upstreams, epoch)] as const;
			const carriers = store.read(state => state.carriers.get(service) ?? []);
			const others = carriers.filter(id => id !== settings.hostId);
			for (const carrier of others) {
				pending.set(carrier, [...pending.get(carrier) ?? [], encodedSummary]);
			}
		},
		flush() {
			for (const [carrier, encodedSummaries] of pending) {
				const address = findPeerAddress(context, carrier);
				const message: SummaryMessage = {
					host: settings.hostId, failureDomain: settings.failureDomain, epoch, told: encodedSummaries,
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
