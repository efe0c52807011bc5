/**
Shares of the fleet-wide limits on this host: leased from the records for all services in one renewal, a few times a
second at most, so that the hosts together never exceed a limit.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type * as utils from 'wagtailroute-utils';
import {SHARE_RENEWAL_TIMEOUT_MILLISECONDS, SHARE_TICK_INTERVAL_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';
import * as heldShares from './held-shares.ts';
import {proposeCommand} from './proposals.ts';

/**
What a service has in use and could use.
*/
export type ServiceUsage = Readonly<Record<records.LimitName, heldShares.ShareUsage>>;

/**
The shares of one service.
*/
export type ServiceShares = {
	/**
	What this host may use now; `ratePerSecond` is undefined when the service has no such limit.
	*/
	readonly getAmounts: () => {readonly concurrency: number; readonly ratePerSecond?: number};
	/**
	Resolves when the first renewal is answered or has failed.
	*/
	readonly ready: Promise<void>;
	readonly isReady: () => boolean;
	readonly close: utils.Teardown;
};

/**
The shares of a host.
*/
export type ShareLeases = {
	readonly open: (entry: catalogue.Entry, options: ServiceSharesOptions) => ServiceShares;
	readonly teardown: utils.Teardown;
};

/**
What the shares of a service follow.
*/
export type ServiceSharesOptions = {
	/**
	Returns the use since the last renewal; called once for each renewal.
	*/
	readonly collectUsage: () => ServiceUsage;
	readonly getUsage: () => ServiceUsage;
	readonly getCarrierCount: () => number;
	/**
	Told when what may be used has changed, also when a lease has ended.
	*/
	readonly onChange: () => void;
};

type OpenService = {
	readonly entry: catalogue.Entry;
	readonly options: ServiceSharesOptions;
	readonly held: Map<records.LimitName, heldShares.HeldShare>;
	readonly markReady: () => void;
	readonly isReady: () => boolean;
};

type ShareRenewal = {
	readonly service: OpenService;
	readonly limitName: records.LimitName;
	readonly request: records.CommandPayloads['renew-shares']['requests'][number];
};

const LIMIT_NAMES: readonly records.LimitName[] = ['concurrency', 'ratePerSecond'];

/**
Starts the part.
*/
export function startShareLeases(context: HostContext, propose: typeof proposeCommand = proposeCommand): ShareLeases {
	const {now, settings} = context;
	const open = new Set<OpenService>();
	let isRenewing = false;

	const listDueRenewals = (): readonly ShareRenewal[] => [...open].flatMap(service => {
		const isDue = getLimits(service).some(limit =>
			heldShares.isDue(service.held.get(limit.limitName)!, limit, {usage: service.options.getUsage()[limit.limitName], now: now()}));
		return isDue ? createRenewals(service, settings.hostId, now()) : [];
	});

	const renewDue = async () => {
		const renewals = isRenewing ? [] : listDueRenewals();
		if (renewals.length === 0) {
			return;
		}

		isRenewing = true;
		const requestedAt = now();
		const payload: records.CommandPayloads['renew-shares'] = {requests: renewals.map(({request}) => request)};
		// A renewal that was asked twice has two answers, of which the later one is used: nothing is exceeded.
		const proposed = await propose(context, 'records', {name: 'renew-shares', stampedAt: 0, payload}, {
			timeoutMilliseconds: SHARE_RENEWAL_TIMEOUT_MILLISECONDS,
			isRepeatable: true,
		});
		isRenewing = false;
		const shares = proposed.isOk() ? (proposed.value as records.CommandResults['renew-shares']).shares : [];
		for (const [index, renewal] of renewals.entries()) {
			applyRenewal(renewal, shares[index], requestedAt);
		}

		for (const service of new Set(renewals.map(renewal => renewal.service))) {
			service.markReady();
			service.options.onChange();
		}

		// A service that was opened meanwhile has requests that wait for its first share.
		if (open.values().some(service => !service.isReady())) {
			void renewDue();
		}
	};

	const stop = context.repeat(SHARE_TICK_INTERVAL_MILLISECONDS, () => {
		void renewDue();
		for (const {options} of open) {
			options.onChange();
		}
	});

	return {
		open(entry, options) {
			const first = Promise.withResolvers<void>();
			let isReady = false;
			const service: OpenService = {
				entry,
				options,
				held: new Map(LIMIT_NAMES.map(limitName => [limitName, heldShares.NO_SHARE])),
				markReady() {
					isReady = true;
					first.resolve();
				},
				isReady: () => isReady,
			};
			open.add(service);
			context.schedule(0, () => {
				void renewDue();
			});
			return {
				getAmounts: () => getAmounts(service, now()),
				ready: first.promise,
				isReady: service.isReady,
				close() {
					open.delete(service);
					first.resolve();
				},
			};
		},
		teardown: stop,
	};
}

function getLimits({entry, options}: OpenService): readonly heldShares.SharedLimit[] {
	const carriers = options.getCarrierCount();
	return LIMIT_NAMES.flatMap(limitName => {
		const limit = entry.limits[limitName];
		return limit === undefined ? [] : [{limitName, limit, carriers}];
	});
}

function createRenewals(service: OpenService, host: core.HostId, now: number): readonly ShareRenewal[] {
	const usage = service.options.collectUsage();
	return getLimits(service).map(limit => {
		const {limitName} = limit;
		const created = heldShares.createRequest(service.held.get(limitName)!, limit, {usage: usage[limitName], now});
		service.held.set(limitName, created.held);
		return {
			service, limitName, request: {
				service: service.entry.name, limitName, host, ...created.request,
			},
		};
	});
}

function applyRenewal(
	{service, limitName}: ShareRenewal,
	answer: records.Share | {readonly kind: 'not-held'} | undefined,
	requestedAt: number,
): void {
	const share = answer === undefined || 'kind' in answer ? undefined : answer;
	const {inUse} = service.options.getUsage()[limitName];
	service.held.set(limitName, heldShares.applyAnswer(service.held.get(limitName)!, share, {requestedAt, inUse}));
}

function getAmounts(service: OpenService, now: number): ReturnType<ServiceShares['getAmounts']> {
	const amounts = new Map(getLimits(service).map(limit =>
		[limit.limitName, heldShares.getAmount(service.held.get(limit.limitName)!, limit, now)]));
	return {concurrency: amounts.get('concurrency')!, ratePerSecond: amounts.get('ratePerSecond')};
}
