/**
Base classes of the commands that send requests to the admin port of one host.
*/
import type * as zod from 'zod';
import * as adminClient from '../admin-client.ts';
import * as formats from '../formats.ts';
import * as settings from '../settings.ts';
import * as base from './command.ts';

/**
A command with the address and the token of an admin port as flags.
*/
export abstract class AdminCommand extends base.BaseCommand {
	admin = base.createFlag('admin');
	optionalOperatorToken = base.createFlag('optionalOperatorToken');

	/**
	Reads the settings, runs `action` with a client and closes the client.
	*/
	protected async withClient<Schema extends zod.ZodObject>(
		schema: Schema,
		action: (client: adminClient.AdminClient, settings: zod.output<Schema>) => Promise<base.CommandResult>,
	): Promise<base.CommandResult> {
		const read = this.readSettings(schema);
		if (read.isErr()) {
			return read;
		}

		const adminSettings = read.value as unknown as zod.output<typeof settings.ADMIN_SETTINGS>;
		const client = adminClient.createAdminClient(adminSettings.admin, adminSettings.optionalOperatorToken);
		try {
			return await action(client, read.value);
		} finally {
			await client.close();
		}
	}
}

/**
A command that prints the answer to one GET request.
*/
export abstract class QueryCommand extends AdminCommand {
	format = base.createFlag('format');

	/**
	Returns the encoded path of the request.
	*/
	abstract getPath(): string;

	override async run(): Promise<base.CommandResult> {
		return this.withClient(settings.ADMIN_SETTINGS, async (client, {format}) => {
			const answer = await client.sendRequest({method: 'GET', path: this.getPath()});
			return answer.andThen(value => adminClient.parseJsonAnswer(value, settings.ANY_JSON).map(json => format === 'json'
				? JSON.stringify(json, undefined, 2)
				: this.formatText(json, value)));
		});
	}

	/**
	Formats the answer as text. A command with a format of its own overrides this method.
	*/
	protected formatText(value: unknown, _answer: adminClient.AdminAnswer): string {
		return formats.formatValue(value);
	}
}
