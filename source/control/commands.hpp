/// The functions behind the subcommands; each returns an exit code.
/// `argv[0]` is the name of the subcommand. Bad options throw the exceptions
/// of the options library, which the caller reports.
#pragma once

namespace bramleyarch::control
{

int check_document_file(int argc, char const* const* argv);
int diff_documents(int argc, char const* const* argv);
int submit_document(int argc, char const* const* argv);
int drain_router(int argc, char const* const* argv);
int show_status(int argc, char const* const* argv);
int show_timeline(int argc, char const* const* argv);
int print_reference(int argc, char const* const* argv);

} // namespace bramleyarch::control
