/**
Lending between the pools of a service: a dispatcher whose pool has no slot in time sends new requests to another pool that has.

Dispatchers tell each other the available capacity of their pools. A dispatcher that is cut off from the others receives none, and lends nothing.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as utils from 'wagtailroute-utils';
import {
	LENDING_LOG_INTERVAL_MILLISECONDS,
	LENDING_WAIT_MILLISECONDS,
	POOL_TRIAL_INTERVAL_MILLISECONDS,
	POOL_USE_MILLISECONDS,
	ROOM_EXPIRY_MILLISECONDS,
	ROOM_INTERVAL_MILLISECONDS,
	ROOM_REPEAT_MILLISECONDS,
} from '../constants.ts';
import type {FleetContext} from '../context.ts';
import {METHODS, type RoomReport, type SlotDecision} from '../messages.ts';
import type {PoolDispatcher} from './pool-dispatcher.ts';
import {getPoolKey, type Pool} from './pool-key.ts';

/**
The lending of one dispatcher.
*/
export type PoolLending = {
	/**
	Records that slots of a pool are requested here, so that its capacity is told to the other dispatchers.
	*/
	readonly recordRequest: (pool: Pool) => void;
	/**
	Applies what another dispatcher tells about its pools.
	*/
	readonly applyRooms: (rooms: readonly RoomReport[]) => void;
	/**
	Returns the pool to which a request is lent that this dispatcher has decided on or queued; undefined when it stays.

	@param decision Absent while the request is queued.
	*/
	readonly choose: (request: dispatch.SlotRequest, decision: SlotDecision | undefined) => core.FailureDomain | undefined;
};

/**
What lending needs of its dispatcher.
*/
export type PoolLendingOptions = {
	readonly failureDomain: core.FailureDomain;
	/**
	Returns whether this host is the first choice among the dispatchers of a pool. It then tells the pool's capacity even while no slots of it are
	requested, as soon as another pool of the service is in use.
	*/
	readonly isFirstDispatcher: (pool: Pool) => boolean;
	readonly dispatcher: Pick<PoolDispatcher, 'report' | 'countQueued' | 'estimateWait'>;
	/**
	Starts the record of a pool.
	*/
	readonly ensurePool: (pool: Pool) => void;
	readonly notifyControlHosts: (method: string, parameters: unknown) => void;
};

type UsedPool = Required<Pool> & {
	/**
	Until when it counts as in use, because slots of it are requested or because another pool of its service is in use.
	*/
	usedUntil: number;
	requestedUntil: number;
	/**
	Slots of upstreams that may be used, taken or free, when the capacity was last told.
	*/
	usableSlots: number;
	lastTrialAt: number;
	sentText: string;
	sentAt: number;
};

type Room = {
	free: number;
	readonly queued: number;
	readonly at: number;
};

/**
Returns whether a slot request comes from another pool, whose dispatcher had no slot in time.
*/
export function isLent({pool, failureDomain}: dispatch.SlotRequest): boolean {
	return pool !== undefined && pool !== failureDomain;
}

/**
Creates the lending of a dispatcher that knows no capacity yet.
*/
export function createPoolLending(context: FleetContext, options: PoolLendingOptions): PoolLending {
	const {now, metrics} = context;
	const log = context.logs('pools');
	const usedPools = new Map<string, UsedPool>();
	const rooms = new Map<core.ServiceName, Map<core.FailureDomain, Room>>();
	const lentCounts = new Map<string, {loggedAt: number; lent: number}>();

	const findUsedPool = ({service, pool}: Required<Pool>) => {
		const key = getPoolKey({service, pool});
		const used: UsedPool = usedPools.get(key) ?? {
			service, pool, usedUntil: -Infinity, requestedUntil: -Infinity, usableSlots: Infinity, lastTrialAt: -Infinity, sentText: '', sentAt: -Infinity,
		};
		usedPools.set(key, used);
		return used;
	};

	const setRoom = ([service, pool, free, queued]: RoomReport) => {
		const ofService = rooms.get(service) ?? new Map<core.FailureDomain, Room>();
		rooms.set(service, ofService);
		ofService.set(pool, {free, queued, at: now()});
	};

	/**
	Returns the capacity of a pool. An upstream that only some hosts may use, or at a limited rate, counts as full.
	*/
	const measure = (used: UsedPool): RoomReport => {
		let free = 0;
		used.usableSlots = 0;
		for (const {
			slots, taken, isSuspended, isDraining, hostsBackingOff, rateLimit,
		} of options.dispatcher.report(used, now())) {
			const isUsable = !isSuspended && !isDraining && hostsBackingOff.length === 0 && rateLimit === undefined;
			used.usableSlots += isSuspended || isDraining ? 0 : slots;
			free += isUsable ? Math.max(0, slots - taken) : 0;
		}

		const room = [used.service, used.pool, free, options.dispatcher.countQueued(used)] as const;
		return now() < used.requestedUntil ? room : [...room, 1];
	};

	const publish = () => {
		const reports: RoomReport[] = [];
		for (const [key, used] of usedPools) {
			if (now() >= used.usedUntil) {
				usedPools.delete(key);
				continue;
			}

			const room = measure(used);
			setRoom(room);
			const text = JSON.stringify(room);
			if (text === used.sentText && !(now() - used.sentAt >= ROOM_REPEAT_MILLISECONDS)) {
				continue;
			}

			used.sentText = text;
			used.sentAt = now();
			reports.push(room);
		}

		if (reports.length > 0) {
			options.notifyControlHosts(METHODS.room, reports);
		}

		if (usedPools.size > 0) {
			schedulePublish();
		}
	};

	const schedulePublish = utils.coalesce(context.schedule, ROOM_INTERVAL_MILLISECONDS, publish);

	/**
	Returns the pool with the most free slots, and takes one of them, since the next report comes later than the next request.
	*/
	const takeRoom = ({service, pool}: Pool) => {
		let best: core.FailureDomain | undefined;
		let mostFree = 0;
		for (const [domain, {free, queued, at}] of rooms.get(service) ?? []) {
			const isOpen = domain !== pool && queued === 0 && free > mostFree && now() - at < ROOM_EXPIRY_MILLISECONDS;
			best = isOpen ? domain : best;
			mostFree = isOpen ? free : mostFree;
		}

		if (best !== undefined) {
			rooms.get(service)!.get(best)!.free--;
		}

		return best;
	};

	const recordLent = ({service, pool}: Pool, to: core.FailureDomain) => {
		metrics.count('slot_requests_lent', {service, pool: pool!, to});
		const key = `${getPoolKey({service, pool})} ${to}`;
		const counted = lentCounts.get(key) ?? {loggedAt: -Infinity, lent: 0};
		lentCounts.set(key, counted);
		counted.lent++;
		if (now() - counted.loggedAt < LENDING_LOG_INTERVAL_MILLISECONDS) {
			return;
		}

		log.info('Slot requests of a pool are sent to another one.', {
			service, pool, to, lent: counted.lent,
		});
		lentCounts.set(key, {loggedAt: now(), lent: 0});
	};

	const isServedLate = (request: dispatch.SlotRequest, decision: SlotDecision | undefined) => {
		if (decision === undefined) {
			return (options.dispatcher.estimateWait(request.id, now()) ?? 0) > LENDING_WAIT_MILLISECONDS[request.requestClass];
		}

		if (decision.kind === 'refuse') {
			return decision.reason === 'no-upstream' || decision.reason === 'no-slot-in-time';
		}

		// All upstreams of the pool are suspended: one request at a time tries them, and the others are not lost for it.
		const used = findUsedPool({service: request.service, pool: request.pool!});
		if (!decision.isTrial || used.usableSlots > 0) {
			return false;
		}

		const isTooSoon = now() - used.lastTrialAt < POOL_TRIAL_INTERVAL_MILLISECONDS;
		used.lastTrialAt = isTooSoon ? used.lastTrialAt : now();
		return isTooSoon;
	};

	return {
		recordRequest({service, pool}) {
			if (pool === undefined) {
				return;
			}

			const used = findUsedPool({service, pool});
			used.usedUntil = now() + POOL_USE_MILLISECONDS;
			used.requestedUntil = used.usedUntil;
			schedulePublish();
		},
		applyRooms(reports) {
			for (const report of reports) {
				setRoom(report);
				const [service, pool] = report;
				const isIdle = report[4] === 1;
				const own = {service, pool: options.failureDomain};
				if (isIdle || pool === own.pool || !options.isFirstDispatcher(own)) {
					continue;
				}

				options.ensurePool(own);
				findUsedPool(own).usedUntil = now() + POOL_USE_MILLISECONDS;
				schedulePublish();
			}
		},
		choose(request, decision) {
			const mayLend = request.pool !== undefined && !isLent(request) && request.isAgain !== true && !request.isResend && !request.isMove;
			if (!mayLend || !isServedLate(request, decision)) {
				return undefined;
			}

			const to = takeRoom(request);
			if (to !== undefined) {
				recordLent(request, to);
			}

			return to;
		},
	};
}
