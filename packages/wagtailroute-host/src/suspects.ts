/**
What a host knows of requests that may crash backend servers, and which requests it has seen a backend server survive.

A look-up for a request of a service without suspects costs one access to a map. Bounded: suspects by the records' own
bound, survived ones by two generations of which the older is dropped.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type {SuspectsAnswer, SuspectChange} from './quarantine-updates.ts';

/**
What a host knows.
*/
export type Suspects = {
	readonly getQuarantineStatus: (service: core.ServiceName, fingerprint: string, now: number) => 'free' | 'suspect' | 'quarantined';
	/**
	Suspects a request by what this host saw itself, until the records say more.
	*/
	readonly addLocalSuspect: (service: core.ServiceName, fingerprint: string, until: number) => void;
	/**
	Drops what this host believed of a request, when the records know nothing of it.
	*/
	readonly clear: (service: core.ServiceName, fingerprint: string) => void;
	readonly applyChange: (change: SuspectChange, now: number) => void;
	readonly replaceSuspects: (answer: SuspectsAnswer, now: number) => void;
	/**
	Versions of the services that this host has served.
	*/
	readonly getVersions: () => Readonly<Record<core.ServiceName, number>>;
	readonly getVersion: (service: core.ServiceName) => number;
	readonly recordSurvival: (service: core.ServiceName, fingerprint: string) => void;
	/**
	Says whether a server has survived the request since it was last in flight at a crash.
	*/
	readonly consumeSurvival: (service: core.ServiceName, fingerprint: string) => boolean;
	/**
	Drops the older half of the survived requests: what a server survived long ago says little of its present state.
	*/
	readonly rotateSurvivals: () => void;
	readonly removeService: (service: core.ServiceName) => void;
};

type SuspectEntry = {readonly standing: Exclude<records.QuarantineStatus, 'cleared'>; readonly until: number};

type ServiceSuspects = {
	version: number;
	entries: Map<string, SuspectEntry>;
	recentSurvivals: Set<string>;
	olderSurvivals: Set<string>;
};

/**
Survived requests remembered in one generation.
*/
const MAX_SURVIVALS = 4096;

/**
Creates an empty table. Held in a closure and changed in place, as every request passes here.
*/
export function createSuspects(): Suspects {
	const services = new Map<core.ServiceName, ServiceSuspects>();

	const open = (service: core.ServiceName): ServiceSuspects => {
		const tracked = services.get(service);
		if (tracked !== undefined) {
			return tracked;
		}

		const created = {
			version: 0, entries: new Map<string, SuspectEntry>(), recentSurvivals: new Set<string>(), olderSurvivals: new Set<string>(),
		};
		services.set(service, created);
		return created;
	};

	return {
		getQuarantineStatus(service, fingerprint, now) {
			const {entries} = open(service);
			const entry = entries.size === 0 ? undefined : entries.get(fingerprint);
			return entry !== undefined && entry.until > now ? entry.standing : 'free';
		},
		addLocalSuspect(service, fingerprint, until) {
			const {entries} = open(service);
			if (!entries.has(fingerprint)) {
				entries.set(fingerprint, {standing: 'suspect', until});
			}
		},
		clear(service, fingerprint) {
			services.get(service)?.entries.delete(fingerprint);
		},
		applyChange(change, now) {
			const {service, version, fingerprint, standing, milliseconds} = change;
			const tracked = open(service);
			if (version <= tracked.version) {
				return;
			}

			// A gap is left for the next question to fill.
			tracked.version = version === tracked.version + 1 ? version : tracked.version;
			if (standing === 'cleared') {
				tracked.entries.delete(fingerprint);
			} else {
				tracked.entries.set(fingerprint, {standing, until: now + milliseconds});
			}
		},
		replaceSuspects(answer, now) {
			for (const {service, version, suspects} of answer.services) {
				const tracked = open(service);
				if (version <= tracked.version) {
					continue;
				}

				tracked.version = version;
				tracked.entries = new Map(suspects
					.filter(({standing}) => standing !== 'cleared')
					.map(({fingerprint, standing, milliseconds}) => [
						fingerprint, {standing: standing as SuspectEntry['standing'], until: now + milliseconds},
					]));
			}
		},
		getVersions: () => Object.fromEntries(services.entries().map(([service, {version}]) => [service, version])),
		getVersion: service => services.get(service)?.version ?? 0,
		recordSurvival(service, fingerprint) {
			const tracked = open(service);
			tracked.recentSurvivals.add(fingerprint);
			if (tracked.recentSurvivals.size >= MAX_SURVIVALS) {
				rotate(tracked);
			}
		},
		consumeSurvival(service, fingerprint) {
			// Each survival excuses one crash: a request that once was harmless and no longer is must not stay above suspicion.
			const {recentSurvivals: recent, olderSurvivals: older} = open(service);
			const isRecent = recent.delete(fingerprint);
			return older.delete(fingerprint) || isRecent;
		},
		rotateSurvivals() {
			for (const tracked of services.values()) {
				rotate(tracked);
			}
		},
		removeService(service) {
			services.delete(service);
		},
	};
}

function rotate(tracked: ServiceSuspects): void {
	tracked.olderSurvivals = tracked.recentSurvivals;
	tracked.recentSurvivals = new Set();
}
