/**
A command that asks the admin port of one host.
*/
import type * as zod from 'zod';
import * as admin from '../admin-client.ts';
import * as formats from '../formats.ts';
import * as settings from '../settings.ts';
import * as shared from './command.ts';

/**
A command with the flags of a question.
*/
export abstract class AdminCommand extends shared.SharedCommand {
	admin = shared.createFlag('admin');
	optionalOperatorToken = shared.createFlag('optionalOperatorToken');

	/**
	Reads the settings, runs `work` with a client and closes the client.
	*/
	protected async withClient<Schema extends zod.ZodObject>(
		schema: Schema,
		work: (client: admin.AdminClient, settings: zod.output<Schema>) => Promise<shared.CommandResult>,
	): Promise<shared.CommandResult> {
		const read = this.readSettings(schema);
		if (read.isErr()) {
			return read;
		}

		const asked = read.value as unknown as zod.output<typeof settings.ADMIN_SETTINGS>;
		const client = admin.createAdminClient(asked.admin, asked.optionalOperatorToken);
		try {
			return await work(client, read.value);
		} finally {
			await client.close();
		}
	}
}

/**
A command that shows the answer to one GET.
*/
export abstract class QueryCommand extends AdminCommand {
	format = shared.createFlag('format');

	abstract getPath(): string;

	override async carryOut(): Promise<shared.CommandResult> {
		return this.withClient(settings.ADMIN_SETTINGS, async (client, {format}) => {
			const answer = await client.ask({method: 'GET', path: this.getPath()});
			return answer.andThen(value => admin.parseAnswer(value, settings.ANY_JSON).map(json => format === 'json'
				? JSON.stringify(json, undefined, 2)
				: this.formatText(json, value)));
		});
	}

	/**
	Writes the answer as text; a command with a better form overrides it.
	*/
	protected formatText(value: unknown, _answer: admin.AdminAnswer): string {
		return formats.formatValue(value);
	}
}
