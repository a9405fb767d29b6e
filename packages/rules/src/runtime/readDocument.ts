import { Lexer, parseDocument } from 'yaml'
import type { Document } from 'yaml'
import { classifyToken } from './classifyToken.js'
import type { Source } from './Source.js'

/** Largest size of a file of rules, settings or a job. */
export const MAX_TEXT_BYTES = 1024 ** 2

/** Limits the number of YAML tokens, and with it the parse time. */
const MAX_TOKENS = 150_000

/** Deepest allowed nesting of lists and maps in brackets. */
const MAX_FLOW_DEPTH = 8

/** Largest column of a list or map indicator outside of brackets. This limits the nesting of blocks. */
const MAX_INDICATOR_COLUMN = 128

const BYTE_ORDER_MARK = 0xfeff
/** Control characters other than tab and line breaks; they show that the file is not text. */
const CONTROL_CHARACTER = /(?![\t\n\r])\p{Cc}/u

/** Message of `many-lines` findings. */
export const MANY_LINES_MESSAGE = 'the rule spans several lines; write it on one line and close its bracket there'

const REFUSED_TOKENS: Record<string, string> = {
  anchor: 'anchors (&) are not allowed; write the value out on each line',
  alias: 'aliases (*) are not allowed here; write the value out, or put it in quotes when it is text that starts with *',
  tag: 'tags (!) are not allowed; remove it',
  'directive-line': 'directives (%) are not allowed; remove the line',
  'doc-start': 'the file must hold a single document; remove the --- line',
  'doc-end': 'the file must hold a single document; remove the ... line'
}

/** Options of {@link readDocument}. */
export interface ReadDocumentOptions {
  /** Whether lists and maps in brackets must end on the line that they start on. */
  oneLine?: boolean
}

/**
 * Parses a text as a single YAML document without anchors, aliases, tags and directives. All scalars are read as strings.
 * Every problem is reported as a finding of the source.
 *
 * @param source - the text, which receives the findings
 * @param options - further restrictions
 * @returns the document, or `null` if the text cannot be parsed at all
 */
export function readDocument (source: Source, options: ReadDocumentOptions = {}): Document | null {
  if (!checkText(source) || !checkTokens(source, options.oneLine ?? false)) return null
  const document = parseYaml(source)
  if (document === null) return null
  reportSyntaxErrors(source, document)
  return document
}

/** Reports the errors of the YAML parser, except on lines that already have a finding. */
function reportSyntaxErrors (source: Source, document: Document): void {
  const reportedLines = new Set(source.findings.map(finding => finding.place.line))
  for (const error of document.errors) {
    if (reportedLines.has(source.lineOf(error.pos[0]))) continue
    const message = error.message.split('\n')[0] ?? ''
    source.report('bad-yaml', error.pos[0], `${message}; correct the YAML here`)
  }
}

function parseYaml (source: Source): Document | null {
  try {
    return parseDocument(source.text, { schema: 'failsafe', uniqueKeys: false, prettyErrors: false, logLevel: 'silent' }) as Document
  } catch (error) {
    source.report('bad-yaml', 0, `the text cannot be parsed (${error instanceof Error ? error.message : 'unknown error'}); correct the YAML`)
    return null
  }
}

function checkText (source: Source): boolean {
  const { text } = source
  const bytes = Buffer.byteLength(text)
  if (bytes > MAX_TEXT_BYTES) {
    source.report('too-large', 0, `the text has ${bytes} bytes, at most ${MAX_TEXT_BYTES} are allowed; remove what is not needed`)
    return false
  }
  if (text.charCodeAt(0) === BYTE_ORDER_MARK) {
    source.report('byte-order-mark', 0, 'the text starts with a byte order mark; save it as UTF-8 without one')
    return false
  }
  const control = CONTROL_CHARACTER.exec(text)
  if (control !== null) {
    const code = control[0].charCodeAt(0).toString(16).padStart(4, '0')
    source.report('binary', control.index, `the text contains the control character U+${code}, expected UTF-8 text; check that this is the right file`)
    return false
  }
  if (text.trim() === '') {
    source.report('empty', 0, 'the text is empty; add the sections that the reference lists')
    return false
  }
  return true
}

/** Reports YAML features that are not allowed, and excessive size or nesting, before the parser builds a document. */
function checkTokens (source: Source, oneLine: boolean): boolean {
  let offset = 0
  let depth = 0
  let lineStart = 0
  let bracketOffset = 0
  let count = 0
  for (const token of new Lexer().lex(source.text)) {
    const type = classifyToken(token)
    if (type === 'marker') continue
    if (type === 'flow-start' && depth++ === 0) bracketOffset = offset
    if (type === 'flow-end') depth--
    if (++count > MAX_TOKENS) {
      source.report('too-large', offset, `the text has more than ${MAX_TOKENS} YAML tokens; remove what is not needed`)
      return false
    }
    const isTooDeep = depth > MAX_FLOW_DEPTH || (depth <= 0 && type === 'indicator' && offset - lineStart > MAX_INDICATOR_COLUMN)
    if (isTooDeep) {
      source.report('too-deep', offset, 'lists or maps are nested too deeply here; one rule is one map on one line')
      return false
    }
    const refusal = REFUSED_TOKENS[type]
    if (refusal !== undefined) source.report('not-allowed', offset, `${JSON.stringify(token.slice(0, 40))}: ${refusal}`)
    offset += token.length
    if (type !== 'newline') continue
    lineStart = offset
    if (oneLine && depth > 0) source.report('many-lines', bracketOffset, MANY_LINES_MESSAGE)
  }
  return true
}
