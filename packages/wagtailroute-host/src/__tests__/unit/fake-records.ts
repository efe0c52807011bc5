/**
Hosts without a network: what parts of a host are given, and records that answer proposals at once.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import * as catalogue from 'wagtailroute-catalogue';
import type * as peer from 'wagtailroute-peer';
import type * as records from 'wagtailroute-records';
import * as utils from 'wagtailroute-utils';
import type {HostContext, HostState} from '../../context.ts';
import type {proposeCommand} from '../../proposals.ts';
import {createRecordsMachine, type RecordsMachine} from '../../records-machine.ts';

/**
The records of a fake fleet.
*/
export type FakeRecords = {
	readonly machine: RecordsMachine;
	readonly propose: typeof proposeCommand;
	/**
	Creates what the parts of one host are given; pushes reach the methods that they register.
	*/
	readonly createContext: (hostId: core.HostId) => HostContext;
	/**
	While set, every proposal fails without having been taken.
	*/
	isUnreachable: boolean;
	now: number;
	/**
	Lets time go on and runs all that is repeated once.
	*/
	readonly advance: (milliseconds: number) => void;
};

/**
Creates the records. `push` tells the hosts of a notice, by a method that they registered.
*/
export function createFakeRecords(createPush?: (tables: records.Records, notice: records.Notice) => {method: string; parameters: unknown}): FakeRecords {
	const methods: Array<Map<string, peer.Method>> = [];
	const repeated = new Set<() => void>();
	const fakeRecords: FakeRecords = {
		isUnreachable: false,
		now: 1000,
		advance(milliseconds) {
			fakeRecords.now += milliseconds;
			for (const run of repeated) {
				run();
			}
		},
		machine: createRecordsMachine(() => fakeRecords.now, notices => {
			const pushes = notices.map(notice => createPush?.(fakeRecords.machine.records, notice));
			for (const pushed of pushes) {
				for (const registered of methods) {
					registered.get(pushed?.method ?? '')?.(pushed?.parameters as never, {} as never);
				}
			}
		}),
		async propose(_context, _group, command) {
			if (fakeRecords.isUnreachable) {
				return results.Err({kind: 'no-quorum', message: 'No quorum.', isPossiblyTaken: false});
			}

			const answers = fakeRecords.machine.prepare(command as records.Command)
				.map((prepared, index) => fakeRecords.machine.stateMachine.apply(prepared, {term: 1, index}));
			return results.Ok(answers.at(-1));
		},
		createContext(hostId) {
			const registered = new Map<string, peer.Method>();
			methods.push(registered);
			return createFakeContext(fakeRecords, hostId, {registered, repeated});
		},
	};
	return fakeRecords;
}

function createFakeContext(fakeRecords: FakeRecords, hostId: core.HostId, {registered, repeated}: {
	readonly registered: Map<string, peer.Method>;
	readonly repeated: Set<() => void>;
}): HostContext {
	const state: HostState = {
		view: catalogue.EMPTY_VIEW, members: new Map(), carriers: new Map(), isDraining: false,
	};
	const context: Partial<HostContext> = {
		settings: {hostId, roles: ['entry'], initialControl: []} as unknown as HostContext['settings'],
		boot: `boot of ${hostId}`,
		peer: {
			registerMethod(name: string, method: peer.Method) {
				registered.set(name, method);
				return () => undefined;
			},
		} as unknown as peer.Peer,
		store: core.createSnapshotStore(state),
		log: () => ({
			info: () => undefined, warn: () => undefined, error: () => undefined, debug: () => undefined,
		}),
		now: () => fakeRecords.now,
		random: utils.createRandom(1),
		schedule(_milliseconds, run) {
			setImmediate(run);
			return () => undefined;
		},
		repeat(_milliseconds, run) {
			repeated.add(run);
			return () => {
				repeated.delete(run);
			};
		},
	};
	return context as HostContext;
}
