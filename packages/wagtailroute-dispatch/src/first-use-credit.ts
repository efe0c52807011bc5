/**
Credit for the retry budget of a service that is used for the first time.

A bucket starts empty, since an earlier dispatcher may have granted resends in the last window. A host that requests a slot of the service for the first
time, and has run for a whole window, shows that nothing was granted on its behalf. It brings its part of the credit to the dispatcher that receives this
request, and to no other.
*/
import type * as core from 'wagtailroute-core';
import type {SlotRequest} from './slot-requests.ts';

/**
Parts of the credit of a service, 0 to 1.
*/
export type CreditShares = {
	/**
	What one entry host brings.
	*/
	readonly host: number;
	/**
	Most that all hosts bring to one record of a dispatcher.
	*/
	readonly most: number;
};

/**
Credit of one service record.
*/
export type FirstUseCredit = {
	/**
	Returns the resends that a request adds to the bucket. The first request of a host without credit ends it: an earlier dispatcher may have
	granted resends to that host.
	*/
	readonly collect: (request: Pick<SlotRequest, 'host' | 'isFirstUse'>, now: number) => number;
};

/**
Creates the credit of a record without requests.

@param resends Credit of all entry hosts together.
@param getShares Returns undefined while there is no credit.
*/
export function createFirstUseCredit(resends: number, getShares: (now: number) => CreditShares | undefined): FirstUseCredit {
	/**
	Hosts that have brought their part; undefined once the credit has ended.
	*/
	let hosts: Set<core.HostId> | undefined = new Set();
	let collectedShare = 0;

	return {
		collect({host, isFirstUse}, now) {
			if (hosts === undefined || hosts.has(host)) {
				return 0;
			}

			const shares = isFirstUse === true ? getShares(now) : undefined;
			if (shares === undefined) {
				hosts = undefined;
				return 0;
			}

			hosts.add(host);
			// Where the number of entry hosts is understated, their parts add up to more than the whole.
			const share = Math.max(0, Math.min(shares.host, shares.most - collectedShare));
			collectedShare += share;
			return resends * share;
		},
	};
}
