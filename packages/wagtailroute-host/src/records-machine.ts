/**
The records as a replicated state machine on this host: stamps commands with group time while this host leads, and opens a
service on its first command.
*/
import * as records from 'wagtailroute-records';
import type * as replication from 'wagtailroute-replication';
import type {HostContext} from './context.ts';

/**
The machine and what prepares commands for it.
*/
export type RecordsMachine = {
	readonly stateMachine: replication.StateMachine;
	/**
	Returns the commands to propose for one asked for, the asked one last.
	*/
	readonly prepare: (command: records.Command) => readonly records.Command[];
	readonly records: records.Records;
};

/**
Creates the machine.
*/
export function createRecordsMachine(context: HostContext): RecordsMachine {
	const machine = records.createRecords();
	let clock: records.GroupClock | undefined;

	const stamp = () => {
		// The clock starts from what was applied here; a stamp behind the latest one is raised when it is applied.
		clock ??= records.createGroupClock({groupTime: machine.getGroupTime(), now: context.now()});
		return Math.max(clock.stamp(context.now()), machine.getGroupTime());
	};

	return {
		records: machine,
		stateMachine: {
			apply: command => machine.apply(command as records.Command).result,
			takeSnapshot: () => machine.takeSnapshot(),
			restoreSnapshot(snapshot) {
				machine.restoreSnapshot(snapshot as records.RecordsSnapshot);
			},
		},
		prepare(command) {
			const stampedAt = stamp();
			const service = 'service' in command.payload ? command.payload.service : undefined;
			const isOpen = service === undefined || machine.getService(service) !== undefined;
			const opening: records.Command[] = isOpen
				? []
				: [{name: 'open-service', stampedAt, payload: {service, origin: {kind: 'new'}}}];
			return [...opening, {...command, stampedAt}];
		},
	};
}
