/**
The crash records of a control host: gathers the reports of entry hosts, passes on what more than one upstream has crashed with, and keeps all on its disk.

Every control host receives every report, and entry hosts bring what they know to a control host that they reach anew. So records survive as long as any host that has them does.
*/
import type * as link from 'wagtailroute-link';
import type * as replication from 'wagtailroute-replication';
import * as utils from 'wagtailroute-utils';
import * as zod from 'zod';
import {CRASH_TIME_TOLERANCE_MILLISECONDS, CRASHES_SAVE_DELAY_MILLISECONDS, CRASHES_TO_TELL} from './constants.ts';
import type {FleetContext} from './context.ts';
import {
	countCrashes,
	createCrashRecords,
	type CrashRecord,
	isQuarantined,
} from './crash-records.ts';
import {createJsonFile} from './json-file.ts';
import {type LossReport, METHODS} from './messages.ts';
import {createSilentUpstreams, type LostRequest, type SilentUpstreamsOptions} from './silent-upstreams.ts';

/**
The crash records of a control host.
*/
export type CrashRegistry = {
	/**
	Methods that other hosts call, by name.
	*/
	readonly methods: Readonly<Record<string, link.LinkMethod>>;
	/**
	Sends a host that has just been reached the records that it needs: an entry host those that it may have to refuse or clear, a control host all.
	*/
	readonly sendTo: (to: link.Link, role: 'entry' | 'control') => void;
	/**
	Reads the records that were saved before a restart.
	*/
	readonly load: () => Promise<void>;
};

/**
Folder of the file, and how entry hosts are notified.
*/
export type CrashRegistryOptions = {
	readonly folder: string;
	readonly notifyEntryHosts: (method: string, parameters: unknown) => void;
	readonly findHeartbeatStatus: SilentUpstreamsOptions['findHeartbeatStatus'];
	readonly disk?: replication.Disk;
};

const documentSchema = zod.object({
	/**
	Unix milliseconds. The time of day may have jumped since then: a record that looks older or newer than it is expires too soon or too late.
	*/
	savedAt: zod.number(),
	records: zod.array(zod.object({
		fingerprint: zod.string(),
		crashes: zod.array(zod.tuple([zod.string(), zod.number()])),
		completedAgeMilliseconds: zod.number().optional(),
	})),
});

/**
Creates the registry; `load` reads its file.
*/
export function createCrashRegistry(context: FleetContext, {
	folder, notifyEntryHosts, findHeartbeatStatus, disk,
}: CrashRegistryOptions): CrashRegistry {
	const log = context.logs('crashes');
	const records = createCrashRecords(context.now);
	const file = createJsonFile<zod.output<typeof documentSchema>>({
		folder, name: 'crashes.json', schema: documentSchema, log, disk,
	});
	const save = utils.coalesce(context.schedule, CRASHES_SAVE_DELAY_MILLISECONDS, () => {
		void file.save({savedAt: Date.now(), records: records.list().map(record => ({...record, crashes: record.crashes.map(([upstream, age]) => [upstream, age])}))});
	});

	const isTold = (record: CrashRecord | undefined) => countCrashes(record) >= CRASHES_TO_TELL;

	/**
	Merges a record. Returns the result if entry hosts need to know it.
	*/
	const merge = (received: CrashRecord): CrashRecord | undefined => {
		const before = records.find(received.fingerprint);
		const merged = records.merge(received);
		if (merged === undefined) {
			return undefined;
		}

		save();
		if (isQuarantined(merged)) {
			log.warn('A request is quarantined.', merged);
		}

		return isTold(before) || isTold(merged) ? merged : undefined;
	};

	const receive = (received: readonly CrashRecord[]) => {
		const told = received.map(record => merge(record)).filter(record => record !== undefined);
		if (told.length > 0) {
			notifyEntryHosts(METHODS.crashes, told);
		}
	};

	const getAge = ({lostAt}: LostRequest) => Math.round(context.now() - lostAt);

	const silentUpstreams = createSilentUpstreams(context, {
		findHeartbeatStatus,
		onCrash(lost) {
			log.warn('An upstream without heartbeats counts as crashed with a request in flight.', {
				upstream: lost.upstream, fingerprint: lost.fingerprint, ageMilliseconds: getAge(lost),
			});
			receive([{fingerprint: lost.fingerprint, crashes: [[lost.upstream, getAge(lost)]]}]);
		},
		onSurvival(lost) {
			log.info('An upstream that counted as crashed has sent a heartbeat.', {upstream: lost.upstream, fingerprint: lost.fingerprint});
			// As a completion it removes the crash on all hosts, in whatever order they hear of both.
			receive([{fingerprint: lost.fingerprint, crashes: [], completedAgeMilliseconds: Math.max(0, getAge(lost) - CRASH_TIME_TOLERANCE_MILLISECONDS)}]);
		},
	});

	context.metrics.registerGauge('quarantined_fingerprints', () => records.list().filter(record => isQuarantined(record)).length);
	return {
		methods: {
			[METHODS.crashes]: receive,
			[METHODS.losses](reports: readonly LossReport[]) {
				for (const report of reports) {
					silentUpstreams.add(report);
				}
			},
		},
		sendTo(to, role) {
			const sent = records.list().filter(record => role === 'control' || isTold(record));
			if (sent.length > 0) {
				to.notify(METHODS.crashes, sent);
			}
		},
		async load() {
			const document = await file.load();
			const age = document === undefined ? 0 : Math.max(0, Date.now() - document.savedAt);
			for (const {fingerprint, crashes, completedAgeMilliseconds = Infinity} of document?.records ?? []) {
				records.merge({
					fingerprint,
					crashes: crashes.map(([upstream, crashAge]) => [upstream, crashAge + age] as const),
					completedAgeMilliseconds: completedAgeMilliseconds + age,
				});
			}
		},
	};
}
