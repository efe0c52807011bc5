/**
The commands that change the catalogue.
*/
import * as crypto from 'node:crypto';
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import type * as zod from 'zod';
import type * as adminClient from '../admin-client.ts';
import * as changes from '../changes.ts';
import * as entries from '../entries.ts';
import type * as failures from '../failures.ts';
import * as settings from '../settings.ts';
import * as adminCommand from './admin-command.ts';
import * as base from './command.ts';

type ChangeSettings = zod.output<typeof settings.CHANGE_SETTINGS>;

/**
A change that the fleet has committed. Printed as JSON, so its fields keep their names.
*/
type CommittedChange = {
	readonly name: string;
	readonly action: 'applied' | 'removed';
	readonly revision: number | null;
	readonly changeId: string;
	/**
	Null if the command did not wait for the change to be in force.
	*/
	readonly inForce: changes.InForceHosts | null;
};

/**
A command with the flags that all changes have.
*/
abstract class ChangeCommand extends adminCommand.AdminCommand {
	format = base.createFlag('format');
	noWait = base.createSwitch('noWait');
	revision = base.createFlag('revision');
}

/**
`catalogue apply FILE`: creates or replaces the entries of a file.
*/
export class CatalogueApplyCommand extends ChangeCommand {
	static override paths = [['catalogue', 'apply']];
	static override usage = clipanion.Command.Usage({description: 'Create or replace the entries of a file (YAML or JSON)'});

	file = clipanion.Option.String({name: 'FILE'});

	override async run(): Promise<base.CommandResult> {
		return this.withClient(settings.CHANGE_SETTINGS, async (client, given) => {
			const read = await entries.readEntries(this.file);
			if (read.isErr()) {
				return read;
			}

			if (read.value.length > 1 && given.revision !== undefined) {
				const message = `--revision: the value "${given.revision}" is not accepted with many entries; accepted: a file with one entry`;
				return results.Err(core.createFailure('bad-setting', message));
			}

			return applyChanges(client, given, read.value.map(entry => ({name: entry.name, body: JSON.stringify(entry)})));
		});
	}
}

/**
`catalogue remove NAME`: removes an entry and does not wait until the removal is in force.
*/
export class CatalogueRemoveCommand extends ChangeCommand {
	static override paths = [['catalogue', 'remove']];
	static override usage = clipanion.Command.Usage({description: 'Remove an entry'});

	name = clipanion.Option.String({name: 'NAME'});

	override async run(): Promise<base.CommandResult> {
		return this.withClient(settings.CHANGE_SETTINGS, async (client, given) =>
			applyChanges(client, {...given, noWait: true}, [{name: this.name, body: undefined}]));
	}
}

/**
Makes the changes one after the other and stops at the first failure. The changes before it stay made, and its message names them.
*/
async function applyChanges(
	client: adminClient.AdminClient,
	given: ChangeSettings,
	requested: ReadonlyArray<{readonly name: string; readonly body: string | undefined}>,
): Promise<base.CommandResult> {
	const committed: CommittedChange[] = [];
	for (const change of requested) {
		// Sequential, because a failed change must stop the changes after it.
		// eslint-disable-next-line no-await-in-loop
		const result = await applyAndWait(client, given, change);
		if (result.isErr()) {
			const committedBefore = committed.length === 0 ? '' : ` (taken before it: ${committed.map(({name}) => name).join(', ')})`;
			return results.Err({...result.error, message: `${change.name}: ${result.error.message}${committedBefore}`});
		}

		committed.push(result.value);
	}

	return results.Ok(given.format === 'json'
		? JSON.stringify(committed, undefined, 2)
		: committed.map(change => formatChange(change)).join('\n'));
}

async function applyAndWait(
	client: adminClient.AdminClient,
	given: ChangeSettings,
	change: {readonly name: string; readonly body: string | undefined},
): Promise<results.Result<CommittedChange, failures.CommandFailure>> {
	const changeId = crypto.randomUUID();
	const applied = await changes.applyChange(client, {...change, changeId, revision: given.revision});
	if (applied.isErr()) {
		return applied;
	}

	const committed: CommittedChange = {
		name: change.name,
		action: change.body === undefined ? 'removed' : 'applied',
		revision: applied.value ?? null,
		changeId,
		inForce: null,
	};
	if (given.noWait) {
		return results.Ok(committed);
	}

	const inForce = await changes.waitUntilInForce(client, change.name);
	return inForce
		.mapErr(failure => ({...failure, message: `revision ${committed.revision} is taken; whether in force is unknown: ${failure.message}`}))
		.andThen(hosts => hosts.lack.length === 0 ? results.Ok({...committed, inForce: hosts}) : results.Err(createNotInForceFailure(committed, hosts)));
}

function createNotInForceFailure(committed: CommittedChange, hosts: changes.InForceHosts): failures.CommandFailure {
	return core.createFailure('not-in-force', `revision ${committed.revision} is taken; not yet in force on ${hosts.lack.join(', ')}`);
}

function formatChange(change: CommittedChange): string {
	const progress = change.inForce ? `in force on ${change.inForce.have.length} hosts` : 'taken';
	return `${change.name}: ${change.action}, revision ${change.revision ?? 'unknown'}, ${progress}`;
}
