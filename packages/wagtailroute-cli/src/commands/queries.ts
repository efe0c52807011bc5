/**
The commands that read from an admin port and change nothing.
*/
import * as clipanion from 'clipanion';
import * as results from 'ts-results-es';
import type * as adminClient from '../admin-client.ts';
import * as formats from '../formats.ts';
import * as settings from '../settings.ts';
import * as adminCommand from './admin-command.ts';
import * as base from './command.ts';

/**
`catalogue list`: the entries with name, owner and revision.
*/
export class CatalogueListCommand extends adminCommand.QueryCommand {
	static override paths = [['catalogue', 'list']];
	static override usage = clipanion.Command.Usage({description: 'List the entries of the catalogue'});

	override getPath(): string {
		return '/catalogue';
	}
}

/**
`catalogue show NAME`: the entry as YAML, after a comment with its revision.
*/
export class CatalogueShowCommand extends adminCommand.QueryCommand {
	static override paths = [['catalogue', 'show']];
	static override usage = clipanion.Command.Usage({description: 'Show an entry as the host has it in force'});

	name = clipanion.Option.String({name: 'NAME'});

	override getPath(): string {
		return `/catalogue/${encodeURIComponent(this.name)}`;
	}

	protected override formatText(value: unknown, answer: adminClient.AdminAnswer): string {
		return `# revision ${answer.revision ?? 'unknown'}\n${formats.formatYaml(value)}`;
	}
}

/**
`catalogue history NAME`: the changes of an entry, with author and time.
*/
export class CatalogueHistoryCommand extends adminCommand.QueryCommand {
	static override paths = [['catalogue', 'history']];
	static override usage = clipanion.Command.Usage({description: 'List the changes of an entry'});

	name = clipanion.Option.String({name: 'NAME'});

	override getPath(): string {
		return `/catalogue/${encodeURIComponent(this.name)}/history`;
	}
}

/**
`fleet status`: one line for each host of the fleet.
*/
export class FleetStatusCommand extends adminCommand.QueryCommand {
	static override paths = [['fleet', 'status']];
	static override usage = clipanion.Command.Usage({description: 'Show the hosts of the fleet as the host sees them'});

	override getPath(): string {
		return '/fleet';
	}
}

/**
`upstreams list SERVICE`: the upstreams of a service with leases and states, as one host knows them.
*/
export class UpstreamsListCommand extends adminCommand.QueryCommand {
	static override paths = [['upstreams', 'list']];
	static override usage = clipanion.Command.Usage({description: 'List the upstreams of a service'});

	service = clipanion.Option.String({name: 'SERVICE'});

	override getPath(): string {
		return `/services/${encodeURIComponent(this.service)}/upstreams`;
	}
}

/**
`report burn`: the report of error budgets, printed as the host formats it.
*/
export class ReportBurnCommand extends adminCommand.AdminCommand {
	static override paths = [['report', 'burn']];
	static override usage = clipanion.Command.Usage({description: 'Report how fast each service spends its error budget'});

	reportFormat = base.createFlag('reportFormat');
	window = base.createFlag('window');

	override async run(): Promise<base.CommandResult> {
		return this.withClient(settings.REPORT_SETTINGS, async (client, {reportFormat, window}) => {
			const answer = await client.sendRequest({method: 'GET', path: `/report/burn?window=${window}&format=${reportFormat}`});
			return answer.andThen(({text}) => results.Ok(text.trimEnd()));
		});
	}
}
