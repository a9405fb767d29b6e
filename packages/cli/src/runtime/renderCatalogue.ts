import type { LogEvent } from '@rattanstep/telemetry'
import type { CatalogueSection } from './readCatalogue.js'

const PAGE_HEADER = `# Log lines

Every line is one JSON object. \`event\` is the number of its kind, \`name\` its name, \`node\` the node that wrote it,
\`time\` milliseconds since 1970. A number never changes its meaning and is never used again. \`rattanstep explain LINE\`
says in words what a line means.

This page is written from the code by \`npm run docs:logs\`; a test compares the two.
`

/**
 * @param sections - events of the packages
 * @returns the page of the catalogue
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
