/**
The hosts that have a link here and request slots from this host's dispatcher.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import type {RequestingHost} from './slot-request-methods.ts';

/**
Requesting hosts by link and by id.
*/
export type RequestingHosts = {
	readonly add: (host: RequestingHost, hostLink: link.Link) => void;
	readonly remove: (hostLink: link.Link) => void;
	readonly find: (id: core.HostId) => link.Link | undefined;
	readonly findByLink: (hostLink: link.Link) => RequestingHost | undefined;
	readonly count: () => number;
};

/**
Creates an empty table.
*/
export function createRequestingHosts(): RequestingHosts {
	const byLink = new Map<link.Link, RequestingHost>();
	const byId = new Map<core.HostId, link.Link>();
	return {
		add(host, hostLink) {
			byLink.set(hostLink, host);
			byId.set(host.id, hostLink);
		},
		remove(hostLink) {
			const host = byLink.get(hostLink);
			byLink.delete(hostLink);
			// The host may have opened a new link already.
			if (host !== undefined && byId.get(host.id) === hostLink) {
				byId.delete(host.id);
			}
		},
		find: id => byId.get(id),
		findByLink: hostLink => byLink.get(hostLink),
		count: () => byLink.size,
	};
}
