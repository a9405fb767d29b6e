import type { LogEvent } from '@rattanstep/telemetry'
import type { CatalogueSection } from './readCatalogue.js'

const PAGE_HEADER = `# Log lines

Every line is one JSON object. \`event\` is the number of the event, \`name\` its name, \`node\` the node that wrote the line
and \`time\` the time in milliseconds since 1970. The number of an event never changes its meaning and is never reused.
\`rattanstep explain LINE\` explains a line in words.

\`npm run docs:logs\` generates this page from the code; a test checks that the two agree.
`

/**
 * @param sections - sections of the log catalogue
 * @returns the catalogue as a Markdown page
 */
export function renderCatalogue (sections: CatalogueSection[]): string {
  return [PAGE_HEADER, ...sections.filter(section => section.events.length > 0).map(section => renderSection(section))].join('\n')
}

function renderSection ({ name, first, last, events }: CatalogueSection): string {
  return `## ${name}: ${first} to ${last}\n\n${events.map(event => renderEvent(event)).join('\n')}`
}

function renderEvent (event: LogEvent): string {
  const fields = Object.entries(event.fields).map(([field, meaning]) => `  - \`${field}\`: ${meaning}\n`)
  return `- **${event.number} ${event.name}** (${event.level}): ${event.message}\n${fields.join('')}`
}
