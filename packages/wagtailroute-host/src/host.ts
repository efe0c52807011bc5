/**
Composition of one host process: creates its parts, connects them, and starts, drains and stops them.
*/
import * as crypto from 'node:crypto';
import * as process from 'node:process';
import * as timers from 'node:timers/promises';
import * as assignment from 'wagtailroute-assignment';
import * as catalogue from 'wagtailroute-catalogue';
import * as core from 'wagtailroute-core';
import * as peer from 'wagtailroute-peer';
import * as proxy from 'wagtailroute-proxy';
import type * as replication from 'wagtailroute-replication';
import * as utils from 'wagtailroute-utils';
import {openAdminServer} from './admin.ts';
import {createCatalogueRoutes} from './catalogue-routes.ts';
import {createFleetRoutes, registerUpstreamList} from './fleet-routes.ts';
import {startAnnouncer} from './announcer.ts';
import {startBurnReporter} from './burn.ts';
import {registerCarriers} from './carriers.ts';
import {checkPeer} from './checked-peer.ts';
import {claimKey} from './claims.ts';
import {
	MAX_DRAIN_MILLISECONDS,
	DRAIN_MARGIN_MILLISECONDS,
	MAX_FIRST_CATALOGUE_WAIT_MILLISECONDS,
	REFUSAL_LOG_INTERVAL_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
} from './constants.ts';
import {getOtherMembers, type HostContext, type HostState} from './context.ts';
import {startControl} from './control.ts';
import {startHostDetection} from './host-detection.ts';
import {registerDistribution} from './distribution.ts';
import {startCrashGuard} from './crash-guard.ts';
import {createLogs, type Log} from './logs.ts';
import {createMetrics} from './metrics.ts';
import {startMembership} from './membership.ts';
import {createReservedPathHandler} from './reserved-paths.ts';
import {startServices} from './services.ts';
import type {HostSettings} from './settings.ts';
import {startShareLeases} from './share-leases.ts';

/**
A running host.
*/
export type Host = {
	/**
	Withdraws the host from the directory, waits for the requests in flight and stops. Takes up to an hour while requests run.
	*/
	readonly stop: () => Promise<void>;
};

/**
Parts of a host that tests may replace.
*/
export type HostFakes = {
	/**
	Returns whether messages of this host to an address are dropped.
	*/
	readonly isCut?: (to: core.Address) => boolean;
	/**
	Disk of the control role; the real one when absent.
	*/
	readonly disk?: replication.Disk;
	/**
	Called in place of ending the process after a defect.
	*/
	readonly onDefect?: (error: Error) => void;
};

const INITIAL_STATE: HostState = {
	view: catalogue.EMPTY_VIEW,
	members: new Map(),
	carriers: new Map(),
	isDraining: false,
};

/**
Starts a host. Resolves when its ports are open; rejects when a port cannot be opened.
*/
export async function runHost(settings: HostSettings, fakes: HostFakes = {}): Promise<Host> {
	const context = await createContext(settings, fakes);
	const log = context.log('host');
	const carriers = await registerCarriers(context);
	const distribution = registerDistribution(context);
	const announcer = startAnnouncer(context);
	const detection = startHostDetection(context, announcer);
	const shareLeases = startShareLeases(context);
	const guarding = startCrashGuard(context);
	const services = startServices(context, announcer, {upstreamHealth: detection, shareLeases});
	const burnReporter = startBurnReporter(context);
	const teardown = utils.mergeTeardowns(
		carriers,
		distribution.teardown,
		announcer.teardown,
		detection.teardown,
		services.teardown,
		shareLeases.teardown,
		guarding.teardown,
		burnReporter.teardown,
		registerUpstreamList(context, {announcer, upstreamHealth: detection}),
	);
	const membership = startMembership(context);
	const control = settings.roles.includes('control') ? startControl(context) : undefined;
	await waitForCatalogue(distribution.whenCompared);
	const traffic = await proxy.openTrafficServer(settings.trafficAddress, {
		hostId: settings.hostId,
		now: context.now,
		dialect: proxy.DEFAULT_DIALECT,
		route: services.route,
		claim: async request => claimKey(context, request),
		guard: guarding.guard,
		random: context.random,
		answerReserved: createReservedPathHandler(context, announcer, membership.hasPathFault),
		isDraining: () => context.store.read(state => state.isDraining),
		recordRequest: createRequestRecorder(context, burnReporter.recordRequest),
		onDefect(error) {
			log.error('A request could not be handled.', {error: error.stack});
		},
	});
	const admin = await openAdminServer(context, [
		...createCatalogueRoutes(context),
		...createFleetRoutes(context, {announcer, upstreamHealth: detection, control}),
		burnReporter.route,
	], () => control?.getFailures() ?? {});
	log.info('The host started.', {id: settings.hostId, traffic: core.formatAddress(settings.trafficAddress)});

	return {
		async stop() {
			log.info('The host drains: it finishes the requests in flight and leaves the directory.', {inFlight: traffic.getInFlight()});
			context.store.update(() => ({isDraining: true}));
			membership.drain();
			await waitForDirectoryExpiry(context);
			await Promise.race([traffic.drain(), timers.setTimeout(MAX_DRAIN_MILLISECONDS, undefined, {ref: false})]);
			await burnReporter.handOver();
			await membership.leave();
			teardown();
			await control?.close();
			await admin.close();
			await context.peer.close();
			await context.metrics.close();
			log.info('The host stopped.', {id: settings.hostId});
		},
	};
}

async function createContext(settings: HostSettings, fakes: HostFakes): Promise<HostContext> {
	const logs = createLogs(settings);
	const opened = await peer.openPeer({
		self: settings.hostId,
		address: settings.peerAddress,
		secret: settings.fleetSecret,
		isCut: fakes.isCut,
		onHandshakeRefused: createRefusalLog(logs('host')),
	});
	const metrics = createMetrics(settings.hostId, settings.statsd);
	const checked = checkPeer(opened, ({method, from = 'unknown'}) => {
		metrics.count('peer.malformed', {method});
		logs('host').debug('A malformed message of another host was refused.', {method, from});
	});
	return {
		settings,
		boot: crypto.randomBytes(8).toString('hex'),
		peer: checked,
		store: core.createSnapshotStore(INITIAL_STATE),
		commands: core.createCommandRegistry(),
		routes: catalogue.createRouteIndex(),
		log: logs,
		metrics,
		now: () => performance.now(),
		random: utils.createRandom(crypto.randomInt(2 ** 31)),
		schedule: utils.schedule,
		repeat: utils.repeat,
		disk: fakes.disk,
		fail(error) {
			logs('host').error('The host found a defect in itself and ends the process.', {error: error.stack});
			(fakes.onDefect ?? endProcess)(error);
		},
	};
}

const DEFECT_EXIT_CODE = 70;

/**
Waits until the catalogue is compared with another host's: a host without the catalogue would answer callers that a route
does not exist. When no other host answers in time, this host is the first one or cut off, and starts with what it has.
*/
async function waitForCatalogue(whenCompared: Promise<void>): Promise<void> {
	await Promise.race([whenCompared, timers.setTimeout(MAX_FIRST_CATALOGUE_WAIT_MILLISECONDS, undefined, {ref: false})]);
}

function endProcess(): never {
	// eslint-disable-next-line unicorn/no-process-exit -- Only a restart brings the process to a known state.
	process.exit(DEFECT_EXIT_CODE);
}

/**
Returns a function that logs a refused connection at most once a minute: a peer with a wrong secret reconnects all the time.
*/
function createRefusalLog(log: Log): () => void {
	let writtenAt = -Infinity;
	return () => {
		if (!(performance.now() - writtenAt > REFUSAL_LOG_INTERVAL_MILLISECONDS)) {
			return;
		}

		writtenAt = performance.now();
		log.warn('A connection of a peer with a wrong fleet secret was refused.');
	};
}

/**
Waits until no caller holds an unexpired answer of the directory that names this host: until then callers still connect
here. Without another entry host the directory names no other address, so waiting would not help.
*/
async function waitForDirectoryExpiry(context: HostContext): Promise<void> {
	const others = getOtherMembers(context).filter(member => member.roles.includes('entry'));
	if (others.length === 0) {
		return;
	}

	const ttl = assignment.ADDRESS_TTL_SECONDS * MILLISECONDS_PER_SECOND;
	await timers.setTimeout(ttl + DRAIN_MARGIN_MILLISECONDS);
}

function createRequestRecorder(context: HostContext, countBurn: (report: proxy.RequestReport) => void): (report: proxy.RequestReport) => void {
	return report => {
		countBurn(report);
		const tags = {service: report.service, outcome: report.outcome, status: String(report.status)};
		context.metrics.count('request', tags);
		context.metrics.time('request.milliseconds', report.milliseconds, {service: report.service});
		if (report.failure !== undefined) {
			context.metrics.count('request.failure', {service: report.service, kind: report.failure.kind});
		}
	};
}
