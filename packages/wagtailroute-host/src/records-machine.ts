/**
The records as a replicated state machine on this host: stamps commands with group time while this host leads, and opens
services on their first command.
*/
import * as records from 'wagtailroute-records';
import type * as replication from 'wagtailroute-replication';

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

@param onNotices Told of what hosts must learn, on each replica, also for commands that are applied anew after a start.
*/
export function createRecordsMachine(
	now: () => number,
	onNotices: (notices: readonly records.Notice[]) => void,
): RecordsMachine {
	const machine = records.createRecords();
	let clock: records.GroupClock | undefined;

	const stamp = () => {
		const time = now();
		const groupTime = machine.getGroupTime();
		clock ??= records.createGroupClock({groupTime, now: time});
		return clock.stamp(time, groupTime);
	};

	return {
		records: machine,
		stateMachine: {
			apply(command) {
				const {result, notices} = machine.apply(command as records.Command);
				if (notices.length > 0) {
					onNotices(notices);
				}

				return result;
			},
			takeSnapshot: () => machine.takeSnapshot(),
			restoreSnapshot(snapshot) {
				machine.restoreSnapshot(snapshot as records.RecordsSnapshot);
			},
		},
		prepare(command) {
			const stampedAt = stamp();
			const openCommands = listServices(command)
				.filter(service => machine.getService(service) === undefined)
				.map((service): records.Command => ({name: 'open-service', stampedAt, payload: {service, origin: {kind: 'new'}}}));
			return [...openCommands, {...command, stampedAt}];
		},
	};
}

function listServices({payload}: records.Command): readonly string[] {
	if ('service' in payload) {
		return [payload.service];
	}

	return 'requests' in payload ? [...new Set(payload.requests.map(request => request.service))] : [];
}
