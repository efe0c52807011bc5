/**
A fake of the network between hosts, two replica groups and a backend server: a pool of messages that a seeded random
generator delivers, loses, delays and repeats, while hosts crash and freeze, leaders change, and the service moves between
the groups or its group loses its state.
*/
import * as utils from 'wagtailroute-utils';
import * as records from '../../index.ts';

/**
Behaviour of hosts. `claiming` is the correct one. `naive` sends without a claim; `unbounded` uses a claim whenever its
result arrives, also after its validity.
*/
export type Behaviour = 'claiming' | 'unbounded' | 'naive';

/**
Result of a run: executions at the backend server, and outcomes that callers got.
*/
export type Observation = {
	readonly runsByKey: ReadonlyMap<string, number>;
	readonly runsByAttempt: ReadonlyMap<string, number>;
	readonly told: ReadonlyArray<{
		readonly attempt: string;
		readonly key: string;
		readonly outcome: string;
		readonly body: string | undefined;
	}>;
	/**
	Number of executions that followed another execution of the same key within `KEPT_MILLISECONDS`.
	*/
	readonly duplicateRuns: number;
};

type Attempt = {
	readonly id: string;
	readonly key: string;
	readonly host: number;
	readonly boot: number;
	state: records.AttemptState;
};

type Message = {readonly deliver: () => void; readonly sentAt: number; readonly kind: 'cell' | 'upstream' | 'move'};

const RETENTION_MILLISECONDS = 60_000;
const CONNECTION_MILLISECONDS = 20_000;
// The retention starts when the host is lost, while its request may still arrive as long as the claim is valid and the
// connection is open.
const KEPT_MILLISECONDS = RETENTION_MILLISECONDS - CONNECTION_MILLISECONDS - records.CLAIM_VALIDITY_MILLISECONDS;
const TICK_MILLISECONDS = 1000;
const HOSTS = 3;
const GROUPS = 2;
const KEYS = 2;
const BOUNDS: records.RecordsBounds = {
	...records.DEFAULT_RECORDS_BOUNDS,
	lostMilliseconds: RETENTION_MILLISECONDS,
	idempotency: {...records.DEFAULT_IDEMPOTENCY_BOUNDS, retentionMilliseconds: RETENTION_MILLISECONDS},
};

/**
Plays one run, which the seed determines.
*/
export function playRun(seed: number, behaviour: Behaviour): Observation {
	const random = utils.createRandom(seed);
	const attempts: Attempt[] = [];
	const bootCounts = Array.from({length: HOSTS}, () => 0);
	const runsByKey = new Map<string, number>();
	const runsByAttempt = new Map<string, number>();
	const lastRunAt = new Map<string, number>();
	let duplicateRuns = 0;
	const told: Array<Observation['told'][number]> = [];
	let pool: Message[] = [];
	let time = 0;
	const groups = Array.from({length: GROUPS}, () => createGroup(0, time));
	// The group to which the latest map assigns the service. Hosts may send claims to either group.
	let assignedGroup = 0;
	const applyAt = <Name extends records.CommandName>(index: number, name: Name, payload: records.CommandPayloads[Name]) => {
		const {machine, clock} = groups[index]!;
		return machine.apply({name, payload, stampedAt: clock.stamp(time)});
	};

	const pickGroup = () => random() < 0.8 ? assignedGroup : utils.pickIndex(random, GROUPS);
	const post = (deliver: () => void, kind: Message['kind'] = 'cell') => {
		pool.push({deliver, sentAt: time, kind});
	};

	const isAlive = (attempt: Attempt) => bootCounts[attempt.host] === attempt.boot;
	const advance = (attempt: Attempt, event: records.AttemptEvent) => {
		if (!isAlive(attempt)) {
			return;
		}

		const now = behaviour === 'unbounded' ? 0 : time;
		const {state, effects} = records.stepAttempt(attempt.state, event, {now, random});
		attempt.state = state;
		for (const effect of effects) {
			carryOutEffect(attempt, effect);
		}
	};

	const carryOutEffect = (attempt: Attempt, effect: records.AttemptEffect) => {
		const {id, key} = attempt;
		if (effect.kind === 'send') {
			post(() => {
				executeRequest(attempt);
			}, 'upstream');
		} else if (effect.kind === 'settle') {
			// A host whose settlement is stale also sends it to the other group.
			for (let index = 0; index < GROUPS; index++) {
				post(() => {
					applyAt(index, 'settle', {
						service: 's', organisation: 'o', key, attempt: id, ending: effect.ending,
					});
				});
			}
		} else {
			told.push({
				attempt: id, key, outcome: effect.outcome, body: effect.answer?.body,
			});
		}
	};

	const executeRequest = (attempt: Attempt) => {
		if (random() < 0.15) {
			advance(attempt, {kind: 'upstream-failed', wasRun: 'not-run'});
			return;
		}

		runsByKey.set(attempt.key, (runsByKey.get(attempt.key) ?? 0) + 1);
		runsByAttempt.set(attempt.id, (runsByAttempt.get(attempt.id) ?? 0) + 1);
		const last = lastRunAt.get(attempt.key);
		duplicateRuns += last !== undefined && time - last < KEPT_MILLISECONDS ? 1 : 0;
		lastRunAt.set(attempt.key, time);
		const body = `answer to ${attempt.key} by ${attempt.id}`;
		const isCut = random() < 0.3;
		post(() => {
			advance(attempt, isCut
				? {kind: 'upstream-failed', wasRun: 'unknown'}
				: {kind: 'answer-completed', answer: {status: 200, headers: [], body}});
		});
	};

	const sendClaim = (attempt: Attempt) => {
		const {id, key, host, boot} = attempt;
		post(() => {
			const {result} = applyAt(pickGroup(), 'claim', {
				service: 's', organisation: 'o', key, digest: 'd', attempt: id, host: `h${host}`, bootId: `${boot}`, budgetMilliseconds: 2000,
			});
			post(() => {
				advance(attempt, {kind: 'claim-answered', result});
			});
		});
	};

	const advanceTime = (milliseconds: number) => {
		const end = time + milliseconds;
		while (time < end) {
			time = Math.min(end, time + TICK_MILLISECONDS);
			for (let index = 0; index < GROUPS; index++) {
				applyAt(index, 'tick', {});
			}
		}

		// A connection to a backend server ends long before records expire.
		pool = pool.filter(({sentAt, kind}) => kind !== 'upstream' || sentAt + CONNECTION_MILLISECONDS > time);
	};

	// The catalogue's log orders moves: the next move starts after the group of the previous move has opened the service.
	const moveService = () => {
		const {result} = applyAt(assignedGroup, 'close-service', {service: 's'});
		if (result.kind === 'not-held') {
			return;
		}

		const {exported} = result;
		const isLost = random() < 0.2;
		assignedGroup = (assignedGroup + 1) % GROUPS;
		const next = assignedGroup;
		const open = () => {
			applyAt(next, 'open-service', {service: 's', origin: isLost ? {kind: 'lost'} : {kind: 'adopted', exported}});
		};

		post(open, 'move');
	};

	const actions: Array<readonly [weight: number, act: () => void]> = [
		[6, () => {
			const host = utils.pickIndex(random, HOSTS);
			const attempt: Attempt = {
				id: `a${attempts.length}`, key: `k${utils.pickIndex(random, KEYS)}`, host, boot: bootCounts[host]!, state: records.createAttempt(behaviour === 'unbounded' ? 0 : time),
			};
			attempts.push(attempt);
			if (behaviour === 'naive') {
				executeRequest(attempt);
			} else {
				sendClaim(attempt);
			}
		}],
		[20, () => {
			const [message] = pool.splice(utils.pickIndex(random, pool.length), 1);
			message?.deliver();
		}],
		[2, () => {
			const index = utils.pickIndex(random, pool.length);
			pool.splice(index, pool[index]?.kind === 'move' ? 0 : 1);
		}],
		[2, () => {
			const attempt = attempts[utils.pickIndex(random, attempts.length)];
			if (attempt?.state.kind === 'claiming') {
				sendClaim(attempt);
			}
		}],
		[1, () => {
			const attempt = attempts[utils.pickIndex(random, attempts.length)];
			if (attempt !== undefined) {
				advance(attempt, {kind: 'claim-failed'});
			}
		}],
		[1, () => {
			const host = utils.pickIndex(random, HOSTS);
			const bootId = `${bootCounts[host]!}`;
			bootCounts[host]! += 1;
			for (let index = 0; index < GROUPS; index++) {
				post(() => {
					applyAt(index, 'lose-host', {host: `h${host}`, bootId});
				});
			}
		}],
		[1, () => {
			// The new leader has the state, and a clock that starts at the last stamp of the old leader.
			const index = utils.pickIndex(random, GROUPS);
			const {machine} = groups[index]!;
			groups[index] = createGroup(machine.getGroupTime(), time);
			groups[index].machine.restoreSnapshot(structuredClone(machine.takeSnapshot()));
		}],
		[1, () => {
			moveService();
		}],
		[0.2, () => {
			// All members of the group that holds the service restart without state.
			if (groups[assignedGroup]!.machine.getService('s') === undefined) {
				return;
			}

			groups[assignedGroup] = createGroup(0, time);
			applyAt(assignedGroup, 'open-service', {service: 's', origin: {kind: 'lost'}});
		}],
		[3, () => {
			const longest = random() < 0.3 ? 90_000 : 3000;
			advanceTime(longest * random());
		}],
	];
	const total = actions.reduce((sum, [weight]) => sum + weight, 0);
	applyAt(assignedGroup, 'open-service', {service: 's', origin: {kind: 'new'}});
	for (let step = 0; step < 120; step++) {
		let pick = random() * total;
		const chosen = actions.find(([weight]) => {
			pick -= weight;
			return pick < 0;
		});
		chosen?.[1]();
	}

	return {
		runsByKey, runsByAttempt, told, duplicateRuns,
	};
}

function createGroup(groupTime: number, now: number): {machine: records.Records; clock: records.GroupClock} {
	return {machine: records.createRecords(BOUNDS), clock: records.createGroupClock({groupTime, now})};
}
