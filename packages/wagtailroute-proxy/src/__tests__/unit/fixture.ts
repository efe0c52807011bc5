/**
A traffic server on loopback with fake ports and stand-in backend servers.
*/
import type {ExecutionContext} from 'ava';
import * as undici from 'undici';
import * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as standin from 'wagtailroute-standin';
import * as proxy from '../../index.ts';

const ENTRY = catalogue.parseEntry({
	name: 'archive',
	owner: 'team',
	routes: [
		{pathPrefix: '/strict', class: 'non-idempotent', requireIdempotencyKey: true},
		{pathPrefix: '/write', class: 'non-idempotent'},
		{pathPrefix: '/', class: 'read'},
	],
	limits: {bodyBytes: 50_000_000, timeoutMilliseconds: 5000},
}).unwrap();

const GRANTED_CLAIM = {kind: 'granted', isSendable: () => true, settle: () => undefined} as const;

/**
Behaviour of the fake ports and the stand-in backend servers.
*/
export type Setup = {
	readonly faults: ReadonlyArray<readonly standin.BehaviourRequest[]>;
	/**
	Number of upstreams without a listener; they are tried first.
	*/
	readonly unreachableCount?: number;
	/**
	Addresses of further upstreams; they are tried last.
	*/
	readonly addresses?: readonly core.Address[];
	/**
	Timeout of the routes; that of `ENTRY` when absent.
	*/
	readonly timeoutMilliseconds?: number;
	readonly isDraining?: () => boolean;
	readonly claim?: proxy.ClaimAnswer;
	readonly quarantineStatus?: ReturnType<proxy.CrashGuard['getQuarantineStatus']>;
	readonly trial?: proxy.TrialAnswer | 'granted';
	readonly isBudgetEmpty?: boolean;
	/**
	Milliseconds after which the answer to an idempotent request is overdue; never when absent.
	*/
	readonly overdueMilliseconds?: number;
	/**
	The service is carried by other hosts, whose part the stand-in backend servers play.
	*/
	readonly isForwarding?: boolean;
	readonly admit?: proxy.ServicePort['admit'];
	readonly hasCrashed?: boolean;
	readonly routes?: proxy.TrafficPorts['routes'];
	/**
	Targets are granted only after this resolves.
	*/
	readonly beforeTarget?: Promise<void>;
	/**
	No target is granted until the request is withdrawn.
	*/
	readonly isSlotPending?: boolean;
	readonly pacers?: proxy.Pacers;
	readonly forwardingAddress?: core.Address;
	readonly expectedResponseBytes?: (path: string) => number;
	/**
	Called when a request is recorded; may throw.
	*/
	readonly onRecord?: () => void;
};

/**
The server, and what it reported through its ports.
*/
export type Fixture = {
	readonly origin: string;
	readonly address: core.Address;
	readonly server: proxy.TrafficServer;
	readonly standins: readonly standin.Standin[];
	readonly requestReports: proxy.RequestReport[];
	readonly attemptReports: proxy.AttemptReport[];
	readonly releases: proxy.AdmissionRelease[];
	readonly lostAttempts: proxy.LostAttempt[];
	readonly trialEndings: proxy.TrialEnding[];
	/**
	Fingerprints of the requests that an upstream has answered without crashing.
	*/
	readonly survivals: string[];
	/**
	Errors that ended a request, or a task for it.
	*/
	readonly defects: Error[];
};

/**
A port without a listener that the system never assigns. A port that was free a moment ago may be in use by another test.
*/
const UNUSED_PORT = 1;

async function startStandins(t: ExecutionContext, setup: Setup): Promise<standin.Standin[]> {
	return Promise.all(setup.faults.map(async (faults, index) => {
		const started = standin.createStandin({
			id: `upstream-${index}`,
			service: 'archive',
			address: {ip: '127.0.0.1', port: 0},
			failureDomain: 'a',
			slots: 100,
			connections: 300,
			announceTo: () => [],
			seed: index,
		});
		await started.start();
		started.behave(...faults);
		t.teardown(async () => started.stop());
		return started;
	}));
}

function createTargets(setup: Setup, standins: readonly standin.Standin[]): proxy.Target[] {
	const unreachable = Array.from({length: setup.unreachableCount ?? 0}, (_, index) => ({
		id: `absent-${index}`,
		kind: 'upstream' as const,
		address: {ip: '127.0.0.1', port: UNUSED_PORT},
	}));
	const kind = setup.isForwarding === true ? 'host' : 'upstream';
	const listening = standins.map(started => ({id: started.id, kind, address: started.getAddress()} as const));
	const further = (setup.addresses ?? []).map((address, index) => ({id: `further-${index}`, kind, address} as const));
	return [...unreachable, ...listening, ...further];
}

async function resolveAfter(delay: Promise<void>, target: proxy.Target): Promise<proxy.Target> {
	await delay;
	return target;
}

function createPendingTarget(): proxy.PendingTarget {
	const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure>();
	return {
		result: promise,
		cancel() {
			resolve(proxy.createRequestFailure('queue-timeout', 'Withdrawn.'));
		},
	};
}

/**
Starts the server and the stand-in backend servers. Targets are tried in order.
*/
export async function openFixture(t: ExecutionContext, setup: Setup): Promise<Fixture> {
	const standins = await startStandins(t, setup);
	const targets = createTargets(setup, standins);
	const requestReports: proxy.RequestReport[] = [];
	const attemptReports: proxy.AttemptReport[] = [];
	const releases: proxy.AdmissionRelease[] = [];
	const lostAttempts: proxy.LostAttempt[] = [];
	const trialEndings: proxy.TrialEnding[] = [];
	const survivals: string[] = [];
	const defects: Error[] = [];
	const table = catalogue.createRouteTable([ENTRY]);
	const service: proxy.ServicePort = {
		limits: {...ENTRY.limits, timeoutMilliseconds: setup.timeoutMilliseconds ?? ENTRY.limits.timeoutMilliseconds},
		isCarried: setup.isForwarding !== true,
		admit: setup.admit ?? (() => undefined),
		release(release) {
			releases.push(release);
		},
		choose({excluded}) {
			if (setup.isSlotPending === true) {
				return createPendingTarget();
			}

			const target = targets.find(candidate => !excluded.has(candidate.id));
			return target === undefined || setup.beforeTarget === undefined
				? target
				: {result: resolveAfter(setup.beforeTarget, target), cancel: () => undefined};
		},
		hasOtherTarget: ({excluded}) => targets.some(target => !excluded.has(target.id)),
		begin: () => undefined,
		end(report) {
			attemptReports.push(report);
		},
		retry: {
			hasBudget: () => setup.isBudgetEmpty !== true,
			spend: () => undefined,
			getUsualMilliseconds: () => 0,
			getOverdueMilliseconds: () => setup.overdueMilliseconds ?? Infinity,
		},
	};
	const server = await proxy.openTrafficServer({ip: '127.0.0.1', port: 0}, {
		hostId: 'host',
		now: () => performance.now(),
		dialect: proxy.DEFAULT_DIALECT,
		route({host, method, path}) {
			const match = catalogue.matchRoute(table, host, method, path);
			return match === undefined
				? proxy.createRequestFailure('route-unknown', 'unknown')
				: {match, service: {...service, getExpectedResponseBytes: () => setup.expectedResponseBytes?.(path) ?? 0}};
		},
		routes: setup.routes,
		pacers: setup.pacers,
		claim: async () => setup.claim ?? GRANTED_CLAIM,
		guard: {
			getQuarantineStatus: () => setup.quarantineStatus ?? 'free',
			async requestTrial() {
				const granted: proxy.TrialAnswer = {
					kind: 'granted',
					isUsable: () => true,
					end(ending) {
						trialEndings.push(ending);
					},
				};
				return setup.trial === 'granted' ? granted : setup.trial ?? {kind: 'free'};
			},
			async detectCrash(attempt) {
				lostAttempts.push(attempt);
				return setup.hasCrashed === true;
			},
			recordSurvival(_service, fingerprint) {
				survivals.push(fingerprint);
			},
		},
		random: () => 0,
		answerReserved(_message, response) {
			proxy.answerJson(response, 200, {});
		},
		isDraining: setup.isDraining ?? (() => false),
		recordRequest(report) {
			setup.onRecord?.();
			requestReports.push(report);
		},
		onDefect(error) {
			defects.push(error);
		},
	}, {forwardingAddress: setup.forwardingAddress});
	t.teardown(async () => server.drain());
	return {
		origin: `http://127.0.0.1:${server.address.port}`,
		address: server.address,
		server,
		standins,
		requestReports,
		attemptReports,
		releases,
		lostAttempts,
		trialEndings,
		survivals,
		defects,
	};
}

/**
Sends a request on a connection of its own.
*/
export async function send(
	fixture: Fixture,
	path: string,
	options: Partial<undici.Dispatcher.RequestOptions> = {},
): Promise<{status: number; outcome: unknown; text: string; headers: Record<string, unknown>}> {
	const dispatcher = new undici.Agent({keepAliveTimeout: 1});
	const answer = await undici.request(`${fixture.origin}${path}`, {dispatcher, ...options});
	const text = await answer.body.text();
	await dispatcher.close();
	return {
		status: answer.statusCode,
		outcome: answer.headers['wagtailroute-outcome'],
		text,
		headers: answer.headers,
	};
}

/**
Returns the number of requests that the backend servers ran.
*/
export function countRuns(fixture: Fixture): number {
	return fixture.standins.reduce((sum, started) => sum + started.counters().runs, 0);
}

