/**
The replicated state machine of a replica group, for the services that the group holds: idempotency records, ejection
grants, shares of fleet-wide limits and quarantined fingerprints.

Every member applies the same commands in the same order and must reach the same state, so nothing here reads a clock or a
random number. The tables are held in a closure and changed in place; `takeSnapshot` returns plain JSON.
*/
import type {
	Command,
	CommandName,
	CommandPayloads,
	ServiceState,
} from './commands.ts';
import {
	type ApplyResult,
	DEFAULT_RECORDS_BOUNDS,
	type Handler,
	HANDLERS,
	type RecordsBounds,
	type Tables,
} from './handlers.ts';
import {createIdempotencyTable, type RecordHolder, type IdempotencySnapshot} from './idempotency.ts';

/**
The whole state as plain JSON.
*/
export type RecordsSnapshot = {
	readonly groupTime: number;
	readonly idempotency: IdempotencySnapshot;
	readonly services: ReadonlyArray<readonly [string, ServiceState]>;
};

/**
The state machine. Commands come from the log. Queries read the state that this member has applied, which may be behind the
leader's.
*/
export type Records = {
	readonly apply: <Name extends CommandName>(command: Command<Name>) => ApplyResult<Name>;
	readonly takeSnapshot: () => RecordsSnapshot;
	readonly restoreSnapshot: (snapshot: RecordsSnapshot) => void;
	readonly getGroupTime: () => number;
	readonly getService: (service: string) => ServiceState | undefined;
	readonly getServices: () => readonly string[];
	/**
	Returns the processes of hosts that hold running idempotency records.
	*/
	readonly getHolders: () => readonly RecordHolder[];
};

/**
Creates an empty state machine.
*/
export function createRecords(bounds: RecordsBounds = DEFAULT_RECORDS_BOUNDS): Records {
	const tables: Tables = {
		bounds, groupTime: 0, idempotency: createIdempotencyTable(bounds.idempotency), services: new Map(),
	};
	return {
		apply<Name extends CommandName>({name, stampedAt, payload}: Command<Name>) {
			tables.groupTime = Math.max(tables.groupTime, stampedAt);
			tables.idempotency.expire(tables.groupTime);
			return (HANDLERS[name] as Handler<Name>)(tables, payload);
		},
		takeSnapshot: () => ({
			groupTime: tables.groupTime,
			idempotency: tables.idempotency.takeSnapshot(),
			services: [...tables.services],
		}),
		restoreSnapshot(snapshot) {
			tables.groupTime = snapshot.groupTime;
			tables.idempotency = createIdempotencyTable(bounds.idempotency, snapshot.idempotency);
			tables.services = new Map(snapshot.services);
		},
		getGroupTime: () => tables.groupTime,
		getService: service => tables.services.get(service),
		getServices: () => tables.services.keys().toArray(),
		getHolders: () => tables.idempotency.getHolders(),
	};
}
