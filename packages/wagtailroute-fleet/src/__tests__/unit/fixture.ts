/**
A context with a clock that tests advance, and links whose peer is the test.
*/
import * as stream from 'node:stream';
import * as results from 'ts-results-es';
import type * as generations from 'wagtailroute-generations';
import type * as link from 'wagtailroute-link';
import * as telemetry from 'wagtailroute-telemetry';
import * as utils from 'wagtailroute-utils';
import type {SlotRequestDraft} from '../../dispatch-client.ts';
import type {FleetContext} from '../../context.ts';
import type {HostDispatcherOptions} from '../../host-dispatcher.ts';
import type {FleetSettings} from '../../settings.ts';

/**
A slot request without its ID and host.
*/
export const SLOT_REQUEST_DRAFT: SlotRequestDraft = {
	service: 'archive',
	route: 'r',
	requestClass: 'non-idempotent',
	priority: 1,
	remainingMilliseconds: 2000,
	objectiveMilliseconds: 1000,
	excluded: [],
	isResend: false,
	isMove: false,
	waitedMilliseconds: 0,
};

/**
Options of a dispatcher that is the only one of its fleet.
*/
export const ONLY_DISPATCHER: Pick<HostDispatcherOptions, 'requestShare' | 'isReceivingUpdates'> = {
	requestShare: {
		record: () => undefined, get: () => 1, getOf: () => 1, getHostShare: () => 1,
	}, isReceivingUpdates: true,
};

/**
Settings of the allotments of organisations.
*/
export const ALLOTMENTS: FleetSettings['allotments'] = {slack: 20, windowMilliseconds: 5000};

/**
A route of class upload, whose second service has the larger weight.
*/
export const UPLOAD_ROUTE: generations.GenerationRoute = {
	name: 'r',
	host: 'Scans.example',
	pathPrefix: '/a/',
	class: 'upload',
	timeoutMilliseconds: 1000,
	objectiveMilliseconds: 500,
	priority: 1,
	attempts: 2,
	shares: [{service: 'archive', weight: 10}, {service: 'media', weight: 90}],
};

type Timer = {
	readonly at: number;
	readonly run: () => void;
};

/**
A context whose time the test advances.
*/
export type FakeContext = FleetContext & {
	/**
	Advances the time, runs the timers that become due, and settles promises.
	*/
	readonly pass: (milliseconds: number) => Promise<void>;
};

/**
Creates a context at time 0.
*/
export function createFakeContext(): FakeContext {
	let time = 0;
	const timers = new Set<Timer>();
	const schedule = (milliseconds: number, run: () => void) => {
		const timer = {at: time + milliseconds, run};
		timers.add(timer);
		return () => {
			timers.delete(timer);
		};
	};

	const now = () => time;
	return {
		now,
		random: utils.createRandom(1),
		logs: telemetry.createLogs({
			output: new stream.PassThrough().resume(), level: 'error', now, fields: {},
		}),
		metrics: telemetry.createMetrics(),
		schedule,
		repeat: utils.createRepeat(schedule),
		async pass(milliseconds) {
			await settle();
			const end = time + milliseconds;
			for (;;) {
				const next = timers.values().filter(timer => timer.at <= end).toArray().toSorted((left, right) => left.at - right.at)[0];
				if (next === undefined) {
					break;
				}

				timers.delete(next);
				time = next.at;
				next.run();
				// eslint-disable-next-line no-await-in-loop -- A timer may schedule the next one.
				await settle();
			}

			time = end;
			await settle();
		},
	};
}

const TURNS = 20;

async function settle(): Promise<void> {
	for (let turn = 0; turn < TURNS; turn++) {
		// eslint-disable-next-line no-await-in-loop -- Each turn lets one step of a promise chain run.
		await Promise.resolve();
	}
}

/**
A link whose peer is the test.
*/
export type FakeLink = link.Link & {
	readonly notified: ReadonlyArray<readonly [method: string, parameters: unknown]>;
	readonly called: ReadonlyArray<readonly [method: string, parameters: unknown]>;
	/**
	Timeout in milliseconds of each call.
	*/
	readonly limits: readonly number[];
	silence: number;
};

/**
Creates a link.

@param answer Answers calls; undefined stands for no answer in time.
*/
export function createFakeLink(answer: (method: string, parameters: never) => unknown): FakeLink {
	const notified: Array<readonly [string, unknown]> = [];
	const called: Array<readonly [string, unknown]> = [];
	const limits: number[] = [];
	let isOpen = true;
	return {
		notified,
		called,
		limits,
		silence: 0,
		async call(method, parameters, limit) {
			called.push([method, parameters]);
			limits.push(limit);
			const value = answer(method, parameters as never);
			return value === undefined ? results.Err({kind: 'call-timeout', message: 'late'} as const) : results.Ok(value);
		},
		notify(method, parameters) {
			notified.push([method, parameters]);
		},
		getSilenceMilliseconds() {
			return this.silence;
		},
		isOpen: () => isOpen,
		getBytes: () => ({sent: 0, received: 0}),
		close() {
			isOpen = false;
		},
	};
}
