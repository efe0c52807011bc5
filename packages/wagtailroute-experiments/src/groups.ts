/**
The replicated groups of a running fleet, as its control hosts see them.
*/
import * as timers from 'node:timers/promises';
import {TOKEN} from './fixture.ts';
import * as operators from './operators.ts';
import type * as processes from './processes.ts';

type GroupStatus = {
	readonly role: string;
	readonly members: ReadonlyArray<{readonly role: string; readonly isLive: boolean; readonly isCaughtUp: boolean}>;
};

type FleetBody = {readonly groups?: Readonly<Record<string, GroupStatus>>};

const GROUP_COUNT = 2;
const POLL_MILLISECONDS = 100;

/**
Waits until both groups have all control hosts as live voters that hold everything, as their leaders see it; returns false
when the time is over.
*/
export async function waitForVoters(controls: readonly processes.HostProcess[], timeoutMilliseconds: number): Promise<boolean> {
	const startedAt = performance.now();
	while (performance.now() - startedAt < timeoutMilliseconds) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		const bodies = await Promise.all(controls.filter(host => host.isRunning()).map(async host => readFleet(host)));
		const leading = bodies.flatMap(body => Object.entries(body?.groups ?? {})).filter(([, group]) => group.role === 'leader');
		const whole = leading.filter(([, group]) => countWholeVoters(group) === controls.length && group.members.length === controls.length);
		if (new Set(whole.map(([name]) => name)).size === GROUP_COUNT) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(POLL_MILLISECONDS);
	}

	return false;
}

/**
Returns the control host that says it leads a group, if any does.
*/
export async function findLeader(
	controls: readonly processes.HostProcess[],
	group: 'catalogue' | 'records',
): Promise<processes.HostProcess | undefined> {
	const bodies = await Promise.all(controls.map(async host => host.isRunning() ? readFleet(host) : undefined));
	return controls.find((_, index) => bodies[index]?.groups?.[group]?.role === 'leader');
}

function countWholeVoters(group: GroupStatus): number {
	return group.members.filter(member => member.role === 'voter' && member.isLive && member.isCaughtUp).length;
}

const FLEET_MILLISECONDS = 2000;

async function readFleet(host: processes.HostProcess): Promise<FleetBody | undefined> {
	const late = timers.setTimeout(FLEET_MILLISECONDS, undefined, {ref: false});
	try {
		const answer = await Promise.race([operators.ask(host.admin, TOKEN, '/fleet'), late]);
		return answer?.body as FleetBody | undefined;
	} catch {
		return undefined;
	}
}
