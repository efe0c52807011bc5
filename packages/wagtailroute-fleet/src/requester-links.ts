/**
The hosts that have a link here and ask this host's dispatcher.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import type {Asker} from './ask-methods.ts';

/**
The table of asking hosts.
*/
export type RequesterLinks = {
	readonly add: (requester: Asker, hostLink: link.Link) => void;
	readonly remove: (hostLink: link.Link) => void;
	readonly find: (id: core.HostId) => link.Link | undefined;
	readonly findByLink: (hostLink: link.Link) => Asker | undefined;
	readonly count: () => number;
};

/**
Creates an empty table.
*/
export function createRequesterLinks(): RequesterLinks {
	const byLink = new Map<link.Link, Asker>();
	const byId = new Map<core.HostId, link.Link>();
	return {
		add(requester, hostLink) {
			byLink.set(hostLink, requester);
			byId.set(requester.id, hostLink);
		},
		remove(hostLink) {
			const requester = byLink.get(hostLink);
			byLink.delete(hostLink);
			// The host may have opened another link already.
			if (requester !== undefined && byId.get(requester.id) === hostLink) {
				byId.delete(requester.id);
			}
		},
		find: id => byId.get(id),
		findByLink: hostLink => byLink.get(hostLink),
		count: () => byLink.size,
	};
}
