/**
The commands that change the catalogue.
*/
import * as crypto from 'node:crypto';
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import type * as zod from 'zod';
import type * as admin from '../admin-client.ts';
import * as changes from '../changes.ts';
import * as entries from '../entries.ts';
import type * as failures from '../failures.ts';
import * as settings from '../settings.ts';
import * as asking from './admin-command.ts';
import * as shared from './command.ts';

type ChangeSettings = zod.output<typeof settings.CHANGE_SETTINGS>;

/**
A change that was taken, and how far it has come.
*/
type TakenChange = {
	readonly name: string;
	readonly action: 'applied' | 'removed';
	readonly revision: number | null;
	readonly changeId: string;
	/**
	Null when nobody waited for it.
	*/
	readonly inForce: changes.InForce | null;
};

/**
A command with the flags of a change.
*/
abstract class ChangeCommand extends asking.AdminCommand {
	format = shared.createFlag('format');
	noWait = shared.createSwitch('noWait');
	revision = shared.createFlag('revision');
}

/**
`catalogue apply FILE`
*/
export class CatalogueApplyCommand extends ChangeCommand {
	static override paths = [['catalogue', 'apply']];
	static override usage = clipanion.Command.Usage({description: 'Create or replace the entries of a file (YAML or JSON)'});

	file = clipanion.Option.String({name: 'FILE'});

	override async carryOut(): Promise<shared.CommandResult> {
		return this.withClient(settings.CHANGE_SETTINGS, async (client, given) => {
			const read = await entries.readEntries(this.file);
			if (read.isErr()) {
				return read;
			}

			if (read.value.length > 1 && given.revision !== undefined) {
				const message = `--revision: the value "${given.revision}" is not accepted with many entries; accepted: a file with one entry`;
				return results.Err(core.createFailure('bad-setting', message));
			}

			return changeAll(client, given, read.value.map(entry => ({name: entry.name, body: JSON.stringify(entry)})));
		});
	}
}

/**
`catalogue remove NAME`
*/
export class CatalogueRemoveCommand extends ChangeCommand {
	static override paths = [['catalogue', 'remove']];
	static override usage = clipanion.Command.Usage({description: 'Remove an entry'});

	name = clipanion.Option.String({name: 'NAME'});

	override async carryOut(): Promise<shared.CommandResult> {
		return this.withClient(settings.CHANGE_SETTINGS, async (client, given) =>
			changeAll(client, {...given, noWait: true}, [{name: this.name, body: undefined}]));
	}
}

/**
Makes the changes one after the other and stops at the first that fails; those before it stay made, and its message says so.
*/
async function changeAll(
	client: admin.AdminClient,
	given: ChangeSettings,
	wanted: ReadonlyArray<{readonly name: string; readonly body: string | undefined}>,
): Promise<shared.CommandResult> {
	const taken: TakenChange[] = [];
	for (const change of wanted) {
		// A change that fails must stop those after it.
		// eslint-disable-next-line no-await-in-loop
		const result = await changeOne(client, given, change);
		if (result.isErr()) {
			const before = taken.length === 0 ? '' : ` (taken before it: ${taken.map(({name}) => name).join(', ')})`;
			return results.Err({...result.error, message: `${change.name}: ${result.error.message}${before}`});
		}

		taken.push(result.value);
	}

	return results.Ok(given.format === 'json'
		? JSON.stringify(taken, undefined, 2)
		: taken.map(change => formatTaken(change)).join('\n'));
}

async function changeOne(
	client: admin.AdminClient,
	given: ChangeSettings,
	change: {readonly name: string; readonly body: string | undefined},
): Promise<results.Result<TakenChange, failures.CommandFailure>> {
	const changeId = crypto.randomUUID();
	const applied = await changes.applyChange(client, {...change, changeId, revision: given.revision});
	if (applied.isErr()) {
		return applied;
	}

	const taken: TakenChange = {
		name: change.name,
		action: change.body === undefined ? 'removed' : 'applied',
		revision: applied.value ?? null,
		changeId,
		inForce: null,
	};
	if (given.noWait) {
		return results.Ok(taken);
	}

	const inForce = await changes.waitUntilInForce(client, change.name);
	return inForce
		.mapErr(failure => ({...failure, message: `revision ${taken.revision} is taken; whether in force is unknown: ${failure.message}`}))
		.andThen(hosts => hosts.lack.length === 0 ? results.Ok({...taken, inForce: hosts}) : results.Err(describeLack(taken, hosts)));
}

function describeLack(taken: TakenChange, hosts: changes.InForce): failures.CommandFailure {
	return core.createFailure('not-in-force', `revision ${taken.revision} is taken; not yet in force on ${hosts.lack.join(', ')}`);
}

function formatTaken(change: TakenChange): string {
	const where = change.inForce ? `in force on ${change.inForce.have.length} hosts` : 'taken';
	return `${change.name}: ${change.action}, revision ${change.revision ?? 'unknown'}, ${where}`;
}
