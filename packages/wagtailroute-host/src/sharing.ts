/**
Shares of the fleet-wide limits on this host: leased from the records for all services in one question, a few times a
second at most, so that the hosts together never exceed a limit.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type * as utils from 'wagtailroute-utils';
import {SHARE_CALL_MILLISECONDS, SHARE_TICK_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';
import * as heldShares from './held-shares.ts';
import {proposeCommand} from './proposals.ts';

/**
What a service has in use and could use.
*/
export type ServiceUse = Readonly<Record<records.LimitName, heldShares.ShareUse>>;

/**
The shares of one service.
*/
export type ServiceShares = {
	/**
	What this host may use now; `ratePerSecond` is undefined when the service has no such limit.
	*/
	readonly getAmounts: () => {readonly concurrency: number; readonly ratePerSecond?: number};
	/**
	Resolves when the first question is answered or has failed.
	*/
	readonly ready: Promise<void>;
	readonly isReady: () => boolean;
	readonly close: utils.Teardown;
};

/**
The shares of a host.
*/
export type Sharing = {
	readonly open: (entry: catalogue.Entry, plan: SharePlan) => ServiceShares;
	readonly teardown: utils.Teardown;
};

/**
What the shares of a service follow.
*/
export type SharePlan = {
	/**
	Returns the use since the last question; called once for each question.
	*/
	readonly takeUse: () => ServiceUse;
	readonly getUse: () => ServiceUse;
	readonly getCarriers: () => number;
	/**
	Told when what may be used has changed, also when a lease has ended.
	*/
	readonly onChange: () => void;
};

type OpenService = {
	readonly entry: catalogue.Entry;
	readonly plan: SharePlan;
	readonly held: Map<records.LimitName, heldShares.HeldShare>;
	readonly becomeReady: () => void;
	readonly isReady: () => boolean;
};

type Question = {
	readonly service: OpenService;
	readonly limitName: records.LimitName;
	readonly request: records.CommandPayloads['renew-shares']['requests'][number];
};

const LIMIT_NAMES: readonly records.LimitName[] = ['concurrency', 'ratePerSecond'];

/**
Starts the part.
*/
export function startSharing(context: HostContext, propose: typeof proposeCommand = proposeCommand): Sharing {
	const {now, settings} = context;
	const open = new Set<OpenService>();
	let isAsking = false;

	const collect = (): readonly Question[] => [...open].flatMap(service => {
		const isAsked = getLimits(service).some(limit =>
			heldShares.isDue(service.held.get(limit.limitName)!, limit, {use: service.plan.getUse()[limit.limitName], now: now()}));
		return isAsked ? createQuestions(service, settings.hostId, now()) : [];
	});

	const askAll = async () => {
		const questions = isAsking ? [] : collect();
		if (questions.length === 0) {
			return;
		}

		isAsking = true;
		const askedAt = now();
		const payload: records.CommandPayloads['renew-shares'] = {requests: questions.map(({request}) => request)};
		// A question that was asked twice has two answers, of which the later one is used: nothing is exceeded.
		const proposed = await propose(context, 'records', {name: 'renew-shares', stampedAt: 0, payload}, {
			timeoutMilliseconds: SHARE_CALL_MILLISECONDS,
			isRepeatable: true,
		});
		isAsking = false;
		const shares = proposed.isOk() ? (proposed.value as records.CommandResults['renew-shares']).shares : [];
		for (const [index, question] of questions.entries()) {
			take(question, shares[index], askedAt);
		}

		for (const service of new Set(questions.map(question => question.service))) {
			service.becomeReady();
			service.plan.onChange();
		}

		// A service that was opened meanwhile has requests that wait for its first share.
		if (open.values().some(service => !service.isReady())) {
			void askAll();
		}
	};

	const stop = context.repeat(SHARE_TICK_MILLISECONDS, () => {
		void askAll();
		for (const {plan} of open) {
			plan.onChange();
		}
	});

	return {
		open(entry, plan) {
			const first = Promise.withResolvers<void>();
			let isReady = false;
			const service: OpenService = {
				entry,
				plan,
				held: new Map(LIMIT_NAMES.map(limitName => [limitName, heldShares.NO_SHARE])),
				becomeReady() {
					isReady = true;
					first.resolve();
				},
				isReady: () => isReady,
			};
			open.add(service);
			context.schedule(0, () => {
				void askAll();
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

function getLimits({entry, plan}: OpenService): readonly heldShares.SharedLimit[] {
	const carriers = plan.getCarriers();
	return LIMIT_NAMES.flatMap(limitName => {
		const limit = entry.limits[limitName];
		return limit === undefined ? [] : [{limitName, limit, carriers}];
	});
}

function createQuestions(service: OpenService, host: core.HostId, now: number): readonly Question[] {
	const use = service.plan.takeUse();
	return getLimits(service).map(limit => {
		const {limitName} = limit;
		const asked = heldShares.ask(service.held.get(limitName)!, limit, {use: use[limitName], now});
		service.held.set(limitName, asked.held);
		return {
			service, limitName, request: {
				service: service.entry.name, limitName, host, ...asked.request,
			},
		};
	});
}

function take(
	{service, limitName}: Question,
	answer: records.Share | {readonly kind: 'not-held'} | undefined,
	askedAt: number,
): void {
	const share = answer === undefined || 'kind' in answer ? undefined : answer;
	const {inUse} = service.plan.getUse()[limitName];
	service.held.set(limitName, heldShares.receive(service.held.get(limitName)!, share, {askedAt, inUse}));
}

function getAmounts(service: OpenService, now: number): ReturnType<ServiceShares['getAmounts']> {
	const amounts = new Map(getLimits(service).map(limit =>
		[limit.limitName, heldShares.getAmount(service.held.get(limit.limitName)!, limit, now)]));
	return {concurrency: amounts.get('concurrency')!, ratePerSecond: amounts.get('ratePerSecond')};
}
