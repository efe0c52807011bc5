/**
The commands that only ask.
*/
import * as clipanion from 'clipanion';
import * as results from 'ts-results-es';
import type * as admin from '../admin-client.ts';
import * as formats from '../formats.ts';
import * as settings from '../settings.ts';
import * as asking from './admin-command.ts';
import * as shared from './command.ts';

/**
`catalogue list`: the entries by name, with owner and revision.
*/
export class CatalogueListCommand extends asking.QueryCommand {
	static override paths = [['catalogue', 'list']];
	static override usage = clipanion.Command.Usage({description: 'List the entries of the catalogue'});

	override getPath(): string {
		return '/catalogue';
	}
}

/**
`catalogue show NAME`: the entry as YAML, headed by its revision.
*/
export class CatalogueShowCommand extends asking.QueryCommand {
	static override paths = [['catalogue', 'show']];
	static override usage = clipanion.Command.Usage({description: 'Show an entry as the host has it in force'});

	name = clipanion.Option.String({name: 'NAME'});

	override getPath(): string {
		return `/catalogue/${encodeURIComponent(this.name)}`;
	}

	protected override formatText(value: unknown, answer: admin.AdminAnswer): string {
		return `# revision ${answer.revision ?? 'unknown'}\n${formats.formatYaml(value)}`;
	}
}

/**
`catalogue history NAME`: who changed an entry, and when.
*/
export class CatalogueHistoryCommand extends asking.QueryCommand {
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
export class FleetStatusCommand extends asking.QueryCommand {
	static override paths = [['fleet', 'status']];
	static override usage = clipanion.Command.Usage({description: 'Show the hosts of the fleet as the host sees them'});

	override getPath(): string {
		return '/fleet';
	}
}

/**
`upstreams list SERVICE`: leases and states, as one host knows them.
*/
export class UpstreamsListCommand extends asking.QueryCommand {
	static override paths = [['upstreams', 'list']];
	static override usage = clipanion.Command.Usage({description: 'List the upstreams of a service'});

	service = clipanion.Option.String({name: 'SERVICE'});

	override getPath(): string {
		return `/services/${encodeURIComponent(this.service)}/upstreams`;
	}
}

/**
`report burn`: the report as the host wrote it.
*/
export class ReportBurnCommand extends asking.AdminCommand {
	static override paths = [['report', 'burn']];
	static override usage = clipanion.Command.Usage({description: 'Report how fast each service spends its error budget'});

	reportFormat = shared.createFlag('reportFormat');
	window = shared.createFlag('window');

	override async carryOut(): Promise<shared.CommandResult> {
		return this.withClient(settings.REPORT_SETTINGS, async (client, {reportFormat, window}) => {
			const answer = await client.ask({method: 'GET', path: `/report/burn?window=${window}&format=${reportFormat}`});
			return answer.andThen(({text}) => results.Ok(text.trimEnd()));
		});
	}
}
