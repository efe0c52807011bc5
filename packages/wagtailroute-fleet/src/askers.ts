/**
The hosts that have a link here and ask this host's dispatcher.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import type {RequestingHost} from './slot-request-methods.ts';

/**
The table of asking hosts.
*/
export type Askers = {
	readonly add: (asker: RequestingHost, over: link.Link) => void;
	readonly remove: (over: link.Link) => void;
	readonly find: (id: core.HostId) => link.Link | undefined;
	readonly findByLink: (over: link.Link) => RequestingHost | undefined;
	readonly count: () => number;
};

/**
Creates an empty table.
*/
export function createAskers(): Askers {
	const byLink = new Map<link.Link, RequestingHost>();
	const byId = new Map<core.HostId, link.Link>();
	return {
		add(asker, over) {
			byLink.set(over, asker);
			byId.set(asker.id, over);
		},
		remove(over) {
			const asker = byLink.get(over);
			byLink.delete(over);
			// The host may have opened another link already.
			if (asker !== undefined && byId.get(asker.id) === over) {
				byId.delete(asker.id);
			}
		},
		find: id => byId.get(id),
		findByLink: over => byLink.get(over),
		count: () => byLink.size,
	};
}
