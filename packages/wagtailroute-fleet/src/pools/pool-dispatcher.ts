/**
A dispatcher whose services are divided into pools.

It keeps one record for each pool next to that of the undivided service, which serves hosts that don't divide. What is learned about an upstream in one
record is applied to all others that contain it, and is reported to other hosts under the service's name.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {getPoolKey, type Pool} from './pool-key.ts';
import {listPoolMembers} from './pool-members.ts';

type PoolRecord = Required<Pool> & {
	readonly key: string;
	upstreams: ReadonlySet<core.UpstreamId>;
};

type DivisibleMethods = 'recordRefused' | 'hasUpstreams' | 'report' | 'countUpstreams' | 'reportBudget' | 'listIdleUpstreams' | 'replaceHeldSlots';

/**
Requests and effects carry the name of the service. A method that reads or replaces the state of one record has its pool as an argument.
*/
export type PoolDispatcher = Omit<dispatch.Dispatcher, DivisibleMethods> & {
	/**
	Returns the record that serves requests for a pool: the undivided service if no pool is given, or if the pool has no upstreams.
	*/
	readonly resolve: (pool: Pool) => Pool;
	/**
	Starts the record of a pool, from what is known about its upstreams, unless it exists.
	*/
	readonly ensurePool: (pool: Pool, now: number) => void;
	readonly listPools: (service: core.ServiceName) => readonly core.FailureDomain[];
	/**
	Returns the most of a service's retry budget that one record may grant: an equal part for each failure domain with upstreams, all for the undivided service.

	@param key Key of a pool.
	*/
	readonly getMaxShare: (key: string) => number;
	readonly recordRefused: (pool: Pool, now: number) => void;
	readonly hasUpstreams: (pool: Pool) => boolean;
	/**
	Returns the state of the upstreams of a pool. For a service: of all its upstreams, with the higher doubt where two records differ.
	*/
	readonly report: (pool: Pool, now: number) => readonly dispatch.UpstreamReport[];
	/**
	Counts the upstreams of the record that serves requests for a pool.
	*/
	readonly countUpstreams: (pool: Pool, host: core.HostId, now: number) => ReturnType<dispatch.Dispatcher['countUpstreams']>;
	/**
	@param key Key of a pool.
	*/
	readonly reportBudget: (key: string, now: number) => dispatch.BudgetReport | undefined;
	/**
	Returns the number of slot requests that are queued in a pool.
	*/
	readonly countQueued: (pool: Required<Pool>) => number;
	readonly listIdleUpstreams: (pool: Pool, now: number) => readonly dispatch.IdleUpstream[];
	readonly replaceHeldSlots: (host: core.HostId, pool: Pool, reports: readonly dispatch.HeldSlotReport[], now: number) => void;
};

/**
Creates the division of a dispatcher that has no services yet.

@param listEntryDomains Returns the failure domains with entry hosts; empty when they are not known.
*/
export function createPoolDispatcher(dispatcher: dispatch.Dispatcher, listEntryDomains: () => readonly core.FailureDomain[]): PoolDispatcher {
	return new DividedDispatcher(dispatcher, listEntryDomains);
}

class DividedDispatcher implements PoolDispatcher {
	readonly #dispatcher: dispatch.Dispatcher;
	readonly #listEntryDomains: () => readonly core.FailureDomain[];
	readonly #candidates = new Map<core.ServiceName, readonly dispatch.Candidate[]>();
	/**
	Failure domains with upstreams, by service. Counted once for each change, since every slot request reads it.
	*/
	readonly #domainCounts = new Map<core.ServiceName, number>();
	readonly #recordsByKey = new Map<string, PoolRecord>();
	readonly #recordsByService = new Map<core.ServiceName, PoolRecord[]>();
	/**
	Keys of the pools in which slot requests are queued.
	*/
	readonly #queuedKeys = new Map<dispatch.SlotRequestId, string>();
	readonly #queuedCounts = new Map<string, number>();
	#entryDomainsText = '';

	constructor(dispatcher: dispatch.Dispatcher, listEntryDomains: () => readonly core.FailureDomain[]) {
		this.#dispatcher = dispatcher;
		this.#listEntryDomains = listEntryDomains;
	}

	resolve({service, pool}: Pool): Pool {
		if (pool === undefined) {
			return {service};
		}

		const record = this.#recordsByKey.get(getPoolKey({service, pool}));
		return record !== undefined && record.upstreams.size > 0 ? {service, pool} : {service};
	}

	ensurePool(pool: Pool, now: number): void {
		this.#ensureRecord(pool, now);
	}

	listPools(service: core.ServiceName): readonly core.FailureDomain[] {
		return this.#listRecords(service).map(({pool}) => pool);
	}

	getMaxShare(key: string): number {
		const service = this.#recordsByKey.get(key)?.service;
		return service === undefined ? 1 : 1 / Math.max(1, this.#domainCounts.get(service) ?? 1);
	}

	requestSlot(request: dispatch.SlotRequest, now: number): readonly dispatch.Effect[] {
		const key = this.#ensureRecord(request, now);
		if (key === request.service) {
			return this.#restore(this.#dispatcher.requestSlot(request, now), now);
		}

		const effects = this.#dispatcher.requestSlot({...request, service: key}, now);
		if (effects.every(effect => !('request' in effect && effect.request.id === request.id))) {
			this.#queuedKeys.set(request.id, key);
			this.#changeQueued(key, 1);
		}

		return this.#restore(effects, now);
	}

	recordRefused(pool: Pool, now: number): void {
		this.#dispatcher.recordRefused(this.#ensureRecord(pool, now), now);
	}

	cancel(id: dispatch.SlotRequestId, now: number): dispatch.SlotRequest | undefined {
		this.#removeQueued(id);
		return this.#restoreRequest(this.#dispatcher.cancel(id, now));
	}

	findGrantedRequest(id: dispatch.SlotRequestId): dispatch.SlotRequest | undefined {
		return this.#restoreRequest(this.#dispatcher.findGrantedRequest(id));
	}

	end(id: dispatch.SlotRequestId, outcome: dispatch.Outcome, now: number): readonly dispatch.Effect[] {
		return this.#restore(this.#dispatcher.end(id, outcome, now), now);
	}

	recordAdvertisements(id: dispatch.SlotRequestId, advertisements: readonly core.Advertisement[], now: number): readonly dispatch.Effect[] {
		return this.#restore(this.#dispatcher.recordAdvertisements(id, advertisements, now), now);
	}

	applyUpdates(service: core.ServiceName, updates: readonly dispatch.UpstreamUpdate[], now: number): readonly dispatch.Effect[] {
		return this.#listKeys(service).flatMap(key => this.#restore(this.#dispatcher.applyUpdates(key, updates, now), now));
	}

	isSharingRateLimits(service: core.ServiceName, now: number): boolean {
		return this.#listKeys(service).some(key => this.#dispatcher.isSharingRateLimits(key, now));
	}

	flushUpdates(now: number): ReadonlyMap<core.ServiceName, readonly dispatch.UpstreamUpdate[]> {
		return this.#mergeByService(this.#dispatcher.flushUpdates(now));
	}

	listUpdates(now: number): ReadonlyMap<core.ServiceName, readonly dispatch.UpstreamUpdate[]> {
		// Two records list the same advertisement of an upstream.
		return new Map(this.#mergeByService(this.#dispatcher.listUpdates(now)).entries()
			.map(([service, updates]) => [service, new Map(updates.map(update => [getUpdateKey(update), update])).values().toArray()]));
	}

	replaceHeldSlots(host: core.HostId, pool: Pool, reports: readonly dispatch.HeldSlotReport[], now: number): void {
		const key = this.#ensureRecord(pool, now);
		const record = this.#recordsByKey.get(key);
		// A host reports all slots that it holds of a service. Those of other pools are granted there.
		const relevant = record === undefined ? reports : reports.filter(({upstream}) => record.upstreams.has(upstream));
		this.#dispatcher.replaceHeldSlots(host, key, relevant.map(report => ({...report, service: key})), now);
	}

	setCandidates(service: core.ServiceName, candidates: readonly dispatch.Candidate[], now: number): readonly dispatch.Effect[] {
		this.#candidates.set(service, candidates);
		this.#domainCounts.set(service, new Set(candidates.map(({failureDomain}) => failureDomain)).size);
		const effects = this.#restore(this.#dispatcher.setCandidates(service, candidates, now), now);
		return [...effects, ...this.#listRecords(service).flatMap(record => this.#refreshMembers(record, now))];
	}

	setDoubt(service: core.ServiceName, upstream: core.UpstreamId, doubt: number, now: number): void {
		for (const key of this.#listKeys(service)) {
			this.#dispatcher.setDoubt(key, upstream, doubt, now);
		}
	}

	raiseDoubt(
		service: core.ServiceName,
		upstream: core.UpstreamId,
		reported: {readonly doubt: number; readonly ageMilliseconds: number},
		now: number,
	): void {
		for (const key of this.#listKeys(service)) {
			this.#dispatcher.raiseDoubt(key, upstream, reported, now);
		}
	}

	tick(now: number): readonly dispatch.Effect[] {
		return [...this.#refreshEntryDomains(now), ...this.#restore(this.#dispatcher.tick(now), now)];
	}

	estimateWait(id: dispatch.SlotRequestId, now: number): number | undefined {
		return this.#dispatcher.estimateWait(id, now);
	}

	countQueued(pool: Required<Pool>): number {
		return this.#queuedCounts.get(getPoolKey(pool)) ?? 0;
	}

	countWaiting(): number {
		return this.#dispatcher.countWaiting();
	}

	isBusy(): boolean {
		return this.#dispatcher.isBusy();
	}

	hasUpstreams(pool: Pool): boolean {
		return this.#dispatcher.hasUpstreams(getPoolKey(this.resolve(pool)));
	}

	report({service, pool}: Pool, now: number): readonly dispatch.UpstreamReport[] {
		if (pool !== undefined) {
			return this.#dispatcher.report(getPoolKey({service, pool}), now);
		}

		const reports = this.#listKeys(service).flatMap(key => this.#dispatcher.report(key, now));
		const merged = new Map<core.UpstreamId, dispatch.UpstreamReport>();
		for (const report of reports) {
			const known = merged.get(report.upstream);
			merged.set(report.upstream, known === undefined ? report : mergeReports(known, report));
		}

		return merged.values().toArray();
	}

	countUpstreams(pool: Pool, host: core.HostId, now: number): ReturnType<dispatch.Dispatcher['countUpstreams']> {
		return this.#dispatcher.countUpstreams(getPoolKey(this.resolve(pool)), host, now);
	}

	reportBudget(key: string, now: number): dispatch.BudgetReport | undefined {
		return this.#dispatcher.reportBudget(key, now);
	}

	listIdleUpstreams(pool: Pool, now: number): readonly dispatch.IdleUpstream[] {
		return this.#dispatcher.listIdleUpstreams(getPoolKey(this.resolve(pool)), now);
	}

	#changeQueued(key: string, change: number): void {
		this.#queuedCounts.set(key, (this.#queuedCounts.get(key) ?? 0) + change);
	}

	#removeQueued(id: dispatch.SlotRequestId): void {
		const key = this.#queuedKeys.get(id);
		if (key === undefined) {
			return;
		}

		this.#queuedKeys.delete(id);
		this.#changeQueued(key, -1);
	}

	#listRecords(service: core.ServiceName): readonly PoolRecord[] {
		return this.#recordsByService.get(service) ?? [];
	}

	#listKeys(service: core.ServiceName): readonly string[] {
		return [service, ...this.#listRecords(service).map(({key}) => key)];
	}

	/**
	Returns the key of the record that serves requests for a pool; creates it at the first request. It starts from what is known about its upstreams.
	*/
	#ensureRecord({service, pool}: Pool, now: number): string {
		if (pool === undefined) {
			return service;
		}

		const key = getPoolKey({service, pool});
		if (!this.#recordsByKey.has(key)) {
			const record: PoolRecord = {
				service, pool, key, upstreams: new Set(),
			};
			const updates = this.listUpdates(now).get(service) ?? [];
			const known = this.report({service}, now);
			this.#recordsByKey.set(key, record);
			this.#recordsByService.set(service, [...this.#listRecords(service), record]);
			// A record without requests has no effects.
			this.#refreshMembers(record, now);
			this.#dispatcher.applyUpdates(key, updates, now);
			for (const {upstream, doubt} of known) {
				this.#dispatcher.raiseDoubt(key, upstream, {doubt, ageMilliseconds: 0}, now);
			}
		}

		return getPoolKey(this.resolve({service, pool}));
	}

	#refreshMembers(record: PoolRecord, now: number): readonly dispatch.Effect[] {
		const members = listPoolMembers(record, this.#candidates.get(record.service) ?? [], this.#listEntryDomains());
		record.upstreams = new Set(members.map(({upstream}) => upstream));
		return this.#restore(this.#dispatcher.setCandidates(record.key, members, now), now);
	}

	#refreshEntryDomains(now: number): readonly dispatch.Effect[] {
		if (this.#recordsByKey.size === 0) {
			return [];
		}

		const text = this.#listEntryDomains().join(' ');
		if (text === this.#entryDomainsText) {
			return [];
		}

		this.#entryDomainsText = text;
		return this.#recordsByKey.values().flatMap(record => this.#refreshMembers(record, now)).toArray();
	}

	#mergeByService(updates: ReadonlyMap<string, readonly dispatch.UpstreamUpdate[]>): ReadonlyMap<core.ServiceName, readonly dispatch.UpstreamUpdate[]> {
		if (this.#recordsByKey.size === 0) {
			return updates;
		}

		return new Map(Map.groupBy(updates, ([key]) => this.#getService(key)).entries()
			.map(([service, entries]) => [service, entries.flatMap(([, list]) => list)]));
	}

	#getService(key: string): core.ServiceName {
		return this.#recordsByKey.get(key)?.service ?? key;
	}

	#restoreRequest(request: dispatch.SlotRequest | undefined): dispatch.SlotRequest | undefined {
		return request === undefined || this.#recordsByKey.size === 0 ? request : {...request, service: this.#getService(request.service)};
	}

	/**
	Names the service in effects, and applies what they show about an upstream to the other records that contain it.
	*/
	#restore(effects: readonly dispatch.Effect[], now: number): readonly dispatch.Effect[] {
		if (this.#recordsByKey.size === 0) {
			return effects;
		}

		return effects.flatMap(effect => {
			if (effect.kind === 'grant' || effect.kind === 'refuse') {
				this.#removeQueued(effect.request.id);
				return [{...effect, request: this.#restoreRequest(effect.request)!}];
			}

			const service = this.#getService(effect.service);
			return [{...effect, service}, ...this.#applyElsewhere(service, effect, now)];
		});
	}

	#applyElsewhere(service: core.ServiceName, effect: Exclude<dispatch.Effect, {kind: 'grant' | 'refuse'}>, now: number): readonly dispatch.Effect[] {
		const otherKeys = this.#listKeys(service).filter(key => key !== effect.service);
		if (effect.kind === 'believe') {
			for (const key of otherKeys) {
				this.#dispatcher.setDoubt(key, effect.upstream, effect.doubt, now);
			}

			return [];
		}

		return otherKeys.flatMap(key => this.#restore(this.#dispatcher.applyUpdates(key, [toUpdate(effect)], now), now));
	}
}

function mergeReports(left: dispatch.UpstreamReport, right: dispatch.UpstreamReport): dispatch.UpstreamReport {
	const [higher, lower] = left.doubt >= right.doubt ? [left, right] : [right, left];
	return {
		...higher,
		taken: left.taken + right.taken,
		isSuspended: left.isSuspended || right.isSuspended,
		isDraining: left.isDraining || right.isDraining,
		hostsBackingOff: [...new Set([...left.hostsBackingOff, ...right.hostsBackingOff])],
		rateLimit: higher.rateLimit ?? lower.rateLimit,
	};
}

function getUpdateKey(update: dispatch.UpstreamUpdate): string {
	return `${update.kind} ${update.upstream} ${update.kind === 'backoff' ? update.host : ''}`;
}

function toUpdate(effect: Extract<dispatch.Effect, {kind: 'draining' | 'backoff' | 'rate-limit'}>): dispatch.UpstreamUpdate {
	const {upstream} = effect;
	if (effect.kind === 'backoff') {
		return {
			kind: 'backoff', upstream, host: effect.host, remainingMilliseconds: effect.milliseconds,
		};
	}

	return effect.kind === 'draining'
		? {kind: 'draining', upstream}
		: {
			kind: 'rate-limit', upstream, ratePerSecond: effect.ratePerSecond ?? null, ageMilliseconds: 0, granted: 0,
		};
}
