package org.cowsliplatch.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.cowsliplatch.table.TableProblem;

/** The tables are invalid; the message has one line for each problem. */
public final class TablesInvalidException extends TableException {
    private final transient List<TableProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems all problems found, at least one
     */
    public TablesInvalidException(List<TableProblem> problems) {
        super(problems.stream().map(TableProblem::text).collect(Collectors.joining("\n")), null);
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems found, in table and row order. */
    public List<TableProblem> problems() {
        return problems;
    }
}
