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
export type DetectionMail = {
	/**
	Keeps a summary for the other carriers of the service, until `flush`.
	*/
	readonly add: (service: core.ServiceName, summary: detection.Summary) => void;
	readonly flush: () => void;
	readonly teardown: utils.Teardown;
};

type Letter = {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
	readonly told: ReadonlyArray<readonly [service: core.ServiceName, sequence: number, upstreams: string]>;
};

const METHOD = 'detection.summary';

/**
Starts the mail. Its method: `detection.summary` between carriers.
*/
export function startDetectionMail(context: HostContext, announcing: Announcer, {epoch, onSummary}: {
	readonly epoch: number;
	readonly onSummary: (service: core.ServiceName, summary: detection.Summary) => void;
}): DetectionMail {
	const {settings, peer, store} = context;
	const waiting = new Map<core.HostId, Array<Letter['told'][number]>>();

	const read = ({host, failureDomain, epoch: theirs, told}: Letter) => {
		for (const [service, sequence, text] of told) {
			const upstreams = detection.decodeUpstreamSummaries(text, announcing.getUpstreams(service).map(({id}) => id), theirs);
			if (upstreams !== undefined) {
				onSummary(service, {
					host, failureDomain, epoch: theirs, sequence, upstreams,
				});
			}
		}
	};

	return {
		add(service, {sequence, upstreams}) {
			const told = [service, sequence, detection.encodeUpstreamSummaries(upstreams, epoch)] as const;
			const carriers = store.read(state => state.carriers.get(service) ?? []);
			const others = carriers.filter(id => id !== settings.hostId);
			for (const carrier of others) {
				waiting.set(carrier, [...waiting.get(carrier) ?? [], told]);
			}
		},
		flush() {
			for (const [carrier, told] of waiting) {
				const address = findPeerAddress(context, carrier);
				const letter: Letter = {
					host: settings.hostId, failureDomain: settings.failureDomain, epoch, told,
				};
				if (address !== undefined) {
					peer.notify(address, METHOD, letter);
				}
			}

			waiting.clear();
		},
		teardown: peer.registerMethod(METHOD, read),
	};
}
