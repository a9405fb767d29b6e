/** A table of a report. */
export interface Report {
  title: string
  note: string
  columns: string[]
  rows: string[][]
}

/**
 * @param report - a table
 * @returns the table as Markdown, with its title and note
 */
export function formatReport (report: Report): string {
  const line = (cells: string[]): string => `| ${cells.join(' | ')} |`
  const separator = report.columns.map(() => '---')
  const lines = [line(report.columns), line(separator), ...report.rows.map(line)]
  const note = report.note === '' ? '' : `${report.note}\n\n`
  return `### ${report.title}\n\n${note}${lines.join('\n')}\n`
}
